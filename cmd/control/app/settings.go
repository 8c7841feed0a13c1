package app

import (
	"net/netip"
	"time"

	"github.com/balsampier/balsampier/settings"
)

const (
	defaultRingDepth = 4096
	defaultLeaseTerm = 3 * time.Second
	minLeaseTerm     = time.Second
)

// Settings are the settings of a control instance.
type Settings struct {
	settings.Common `yaml:",inline"`
	// PeerAddr takes the calls of members over TCP.
	PeerAddr netip.AddrPort `yaml:"peerAddress"`
	// DataFolder holds all files of the instance.
	DataFolder string `yaml:"dataFolder"`
	// LeaseTerm is how long a member stays in the view without a renewal.
	LeaseTerm time.Duration `yaml:"leaseTerm"`
	// RingDepth is the capacity of each ring.
	RingDepth int `yaml:"ringDepth"`
}

// SetDefaults fills what was left out.
func (s *Settings) SetDefaults() {
	s.Common.SetDefaults()
	if s.RingDepth == 0 {
		s.RingDepth = defaultRingDepth
	}
	if s.LeaseTerm == 0 {
		s.LeaseTerm = defaultLeaseTerm
	}
}

// Check adds a fault for everything that is wrong.
func (s *Settings) Check(f *settings.Faults) {
	s.Common.Check(f)
	f.Addr("peerAddress", s.PeerAddr)
	f.Required("dataFolder", s.DataFolder)
	f.Positive("ringDepth", s.RingDepth)
	if s.LeaseTerm < minLeaseTerm {
		f.Add("leaseTerm", s.LeaseTerm.String(), "write at least "+minLeaseTerm.String())
	}
}
