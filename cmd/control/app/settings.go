package app

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/settings"
)

const (
	defaultRingDepth       = 8192
	defaultElectionTimeout = time.Second
	minLeaseTerm           = time.Second
	minElectionTimeout     = 100 * time.Millisecond
	maxInstances           = 9
	minWatchBudget         = 4000
)

type (
	// Settings are the settings of a control instance.
	Settings struct {
		settings.Common `yaml:",inline"`
		// PeerAddr is the address that accepts calls from members and other
		// control instances.
		PeerAddr netip.AddrPort `yaml:"peerAddress"`
		// DataFolder holds all files of the instance.
		DataFolder string `yaml:"dataFolder"`
		// Instances lists all control instances, including this one. The list
		// is the same on all of them.
		Instances []Instance `yaml:"instances"`
		// LeaseTerm is how long a member stays in the view without a renewal.
		LeaseTerm time.Duration `yaml:"leaseTerm"`
		// ElectionTimeout is how long a follower waits for a silent leader
		// before it starts an election.
		ElectionTimeout time.Duration `yaml:"electionTimeout"`
		// WatchBudget is the maximum rate of one watch stream, in bytes a
		// second.
		WatchBudget int `yaml:"watchBudget"`
		// LocalAgents limits the view of balancers to agents of their data
		// centre.
		LocalAgents bool `yaml:"localAgents"`
		// RingDepth is the capacity of the rings between the threads.
		RingDepth int `yaml:"ringDepth"`
		// Documents replaces rule files by documents that the operator numbers,
		// and the list of instances by discovery through seeds.
		Documents bool `yaml:"documents"`
		// Seeds lists addresses of control instances to contact first. Their
		// ports are ignored: the port of PeerAddr is used. Set if and only if
		// Documents is.
		Seeds []netip.AddrPort `yaml:"seeds"`
		// Joining keeps an instance from bootstrapping a new log, unless it has
		// begun to before.
		Joining bool `yaml:"joining"`
		// Tolerance is how many instances may be lost at the same time. If it is
		// positive, at most 4*Tolerance+1 instances have a data folder at the
		// first start.
		Tolerance int `yaml:"tolerance"`
	}

	// Instance is the name and address of one control instance.
	Instance struct {
		Name     string         `yaml:"name"`
		PeerAddr netip.AddrPort `yaml:"peerAddress"`
	}
)

// SetDefaults sets the defaults of omitted settings.
func (s *Settings) SetDefaults() {
	s.Common.SetDefaults()
	if s.RingDepth == 0 {
		s.RingDepth = defaultRingDepth
	}
	if s.WatchBudget == 0 {
		s.WatchBudget = members.DefaultBudget
	}
	if s.LeaseTerm == 0 {
		s.LeaseTerm = lease.DefaultTTL
	}
	if s.ElectionTimeout == 0 {
		s.ElectionTimeout = defaultElectionTimeout
	}
}

// Check adds a fault for each invalid setting.
func (s *Settings) Check(f *settings.Faults) {
	s.Common.Check(f)
	f.Addr("peerAddress", s.PeerAddr)
	f.Positive("ringDepth", s.RingDepth)
	if s.WatchBudget < minWatchBudget {
		f.Add("watchBudget", fmt.Sprint(s.WatchBudget), fmt.Sprintf("write at least %d", minWatchBudget))
	}
	if s.LeaseTerm < minLeaseTerm {
		f.Add("leaseTerm", s.LeaseTerm.String(), "write at least "+minLeaseTerm.String())
	}
	if s.ElectionTimeout < minElectionTimeout {
		f.Add("electionTimeout", s.ElectionTimeout.String(), "write at least "+minElectionTimeout.String())
	}
	if s.Documents {
		s.checkSeeds(f)
		return
	}
	f.Required("dataFolder", s.DataFolder)
	s.checkInstances(f)
}

// checkSeeds checks the settings that apply if Documents is set. The addresses
// must be IPv4, because instances found through seeds are identified by them.
func (s *Settings) checkSeeds(f *settings.Faults) {
	if len(s.Seeds) == 0 {
		f.Add("seeds", "", "list the address of at least one control instance")
	}
	if s.PeerAddr.IsValid() && !s.PeerAddr.Addr().Unmap().Is4() {
		f.Add("peerAddress", s.PeerAddr.String(), "write an IPv4 address; documents requires it")
	}
	for i, a := range s.Seeds {
		if !a.Addr().Unmap().Is4() {
			f.Add(fmt.Sprintf("seeds[%d]", i), a.String(), "write an IPv4 address:port")
		}
	}
	if s.Tolerance < 0 || 2*s.Tolerance+1 > maxInstances {
		f.Add("tolerance", fmt.Sprint(s.Tolerance), fmt.Sprintf("write 0 to %d", (maxInstances-1)/2))
	}
}

func (s *Settings) checkInstances(f *settings.Faults) {
	if len(s.Instances) > maxInstances {
		f.Add("instances", fmt.Sprint(len(s.Instances)), fmt.Sprintf("list at most %d", maxInstances))
	}
	seen := make(map[string]bool)
	for i, v := range s.Instances {
		k := fmt.Sprintf("instances[%d]", i)
		f.Required(k+".name", v.Name)
		f.Addr(k+".peerAddress", v.PeerAddr)
		if seen[v.Name] {
			f.Add(k+".name", v.Name, "list each instance once")
		}
		seen[v.Name] = true
	}
	if !seen[s.Name] {
		f.Add("instances", s.Name, "list this instance too, and the same instances everywhere")
	}
}
