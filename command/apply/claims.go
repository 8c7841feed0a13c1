package apply

import (
	"maps"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/claim"
)

// serviceAgents lists the agents of one service, in the order of the view.
type serviceAgents struct{ members, holders []balsampier.Holder }

// RecordCompletions records which holders have copied their claims, which may
// activate the groups of their services.
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

// publishGroups publishes a new group for each service whose agents have
// changed in the view.
func (s *State) publishGroups() {
	agentsByService := make(map[balsampier.ServiceName]serviceAgents)
	for n := range s.Claims {
		agentsByService[n] = serviceAgents{}
	}
	for _, m := range s.View.Members {
		if m.Role != balsampier.RoleAgent {
			continue
		}
		a := agentsByService[m.Service]
		a.members = append(a.members, m.Holder())
		if !m.Draining {
			a.holders = append(a.holders, m.Holder())
		}
		agentsByService[m.Service] = a
	}
	next := make(map[balsampier.ServiceName]claim.Activation, len(agentsByService))
	for n, x := range agentsByService {
		a := s.Claims[n]
		a.Publish(s.View.Epoch, x.members, x.holders)
		next[n] = a
	}
	s.Claims = next
}
