package control

import (
	"net/netip"
	"sync/atomic"

	"github.com/balsampier/balsampier/settings"
)

// Seeds holds the initial addresses of control instances. It is safe for
// concurrent use.
type Seeds struct {
	port      uint16
	peerAddrs atomic.Pointer[[]netip.AddrPort]
}

// NewSeeds returns seeds with the given addresses, whose ports are replaced by
// the peer port.
func NewSeeds(as []netip.AddrPort, port uint16) *Seeds {
	s := &Seeds{port: port}
	s.Set(as)
	return s
}

// Set replaces the seeds.
func (s *Seeds) Set(as []netip.AddrPort) {
	l := settings.WithPort(as, s.port)
	s.peerAddrs.Store(&l)
}

// PeerAddrs returns the peer addresses of the seeds.
func (s *Seeds) PeerAddrs() []netip.AddrPort { return *s.peerAddrs.Load() }
