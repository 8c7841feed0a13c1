package app

import (
	"fmt"
	"net/netip"

	"github.com/balsampier/balsampier/cmd/balancer/datagram"
	"github.com/balsampier/balsampier/settings"
)

const defaultRingDepth = 8192

type (
	// Settings configure a balancer.
	Settings struct {
		settings.Common `yaml:",inline"`
		// PeerAddr is the UDP address that receives envelopes from agents.
		PeerAddr netip.AddrPort `yaml:"peerAddress"`
		// Control lists the peer addresses of the control instances.
		Control []netip.AddrPort `yaml:"control"`
		// Services lists the service addresses that the fabric delivers here.
		Services []Service `yaml:"services"`
		// RingDepth is the capacity of each ring, in datagrams or envelopes.
		RingDepth int `yaml:"ringDepth"`
		// Datagram selects the datagram front end; nil selects QUIC.
		Datagram *datagram.Settings `yaml:"datagram"`
	}

	// Service is one service address and where the balancer listens for it.
	Service struct {
		// Addr is the address that callers connect to.
		Addr netip.AddrPort `yaml:"address"`
		// Bind is the local address that the fabric delivers to. Defaults to
		// Addr.
		Bind netip.AddrPort `yaml:"bind"`
	}
)

// SetDefaults sets the defaults of the fields that were left out.
func (s *Settings) SetDefaults() {
	s.Common.SetDefaults()
	if s.RingDepth == 0 {
		s.RingDepth = defaultRingDepth
	}
	for i := range s.Services {
		if !s.Services[i].Bind.IsValid() {
			s.Services[i].Bind = s.Services[i].Addr
		}
	}
}

// Check adds a fault to f for each invalid setting.
func (s *Settings) Check(f *settings.Faults) {
	s.Common.Check(f)
	f.Addr("peerAddress", s.PeerAddr)
	f.Positive("ringDepth", s.RingDepth)
	if s.Datagram != nil {
		s.Datagram.Check(f)
		return
	}
	if len(s.Control) == 0 {
		f.Add("control", "", "list the peer addresses of the control instances")
	}
	if len(s.Services) == 0 {
		f.Add("services", "", "list at least one service address")
	}
	seen := make(map[netip.AddrPort]bool)
	for i, v := range s.Services {
		f.Addr(fmt.Sprintf("services[%d].address", i), v.Addr)
		if seen[v.Addr] {
			f.Add(fmt.Sprintf("services[%d].address", i), v.Addr.String(), "list each address once")
		}
		seen[v.Addr] = true
	}
}
