package apply

import (
	"maps"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/claim"
)

// agents are the agents of one service, in the order of the view.
type agents struct{ members, holders []balsampier.Holder }

// RecordCompletions applies what holders say of the claims that they have copied.
func (s *State) RecordCompletions(cs []Completion) {
	n := maps.Clone(s.Claims)
	for _, c := range cs {
		if a, ok := n[c.Service]; ok {
			a.MarkComplete(c.Holder, c.Epoch)
			n[c.Service] = a
		}
	}
	s.Claims = n
}

// publishGroups publishes the groups of the services that the view changed.
func (s *State) publishGroups() {
	now := make(map[balsampier.ServiceName]agents)
	for n := range s.Claims {
		now[n] = agents{}
	}
	for _, m := range s.View.Members {
		if m.Role != balsampier.RoleAgent {
			continue
		}
		a := now[m.Service]
		a.members = append(a.members, m.Holder())
		if !m.Draining {
			a.holders = append(a.holders, m.Holder())
		}
		now[m.Service] = a
	}
	next := make(map[balsampier.ServiceName]claim.Activation, len(now))
	for n, x := range now {
		a := s.Claims[n]
		a.Publish(s.View.Epoch, x.members, x.holders)
		next[n] = a
	}
	s.Claims = next
}
