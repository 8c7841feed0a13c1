package app

import (
	"fmt"
	"net/netip"

	"github.com/balsampier/balsampier/cmd/balancer/datagram"
	"github.com/balsampier/balsampier/settings"
)

const defaultRingDepth = 8192

type (
	// Settings are the settings of a balancer.
	Settings struct {
		settings.Common `yaml:",inline"`
		// PeerAddr receives the envelopes of agents, over UDP.
		PeerAddr netip.AddrPort `yaml:"peerAddress"`
		// Control lists the peer addresses of the control instances.
		Control []netip.AddrPort `yaml:"control"`
		// Services are the service addresses that the fabric delivers here.
		Services []Service `yaml:"services"`
		// RingDepth is the capacity of each ring.
		RingDepth int `yaml:"ringDepth"`
		// Datagram selects the datagram front end; nil selects QUIC.
		Datagram *datagram.Settings `yaml:"datagram"`
	}

	// Service is one service address.
	Service struct {
		// Addr is what callers dial.
		Addr netip.AddrPort `yaml:"address"`
		// Bind is where the fabric delivers; Addr by default.
		Bind netip.AddrPort `yaml:"bind"`
	}
)

// SetDefaults fills what was left out.
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

// Check adds a fault for everything that is wrong.
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
