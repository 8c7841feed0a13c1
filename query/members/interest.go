package members

import "github.com/balsampier/balsampier"

// Interest tells which members a watcher needs to know. It must stay the same
// as long as the watcher follows by deltas.
type Interest struct {
	// Everything is set for control instances and for tools.
	Everything bool
	// Agents is true for watchers that need agents.
	Agents bool
	// Service limits the agents to one service; empty means all.
	Service balsampier.ServiceName
	// Balancers is true for watchers that need the balancers of DataCentre.
	Balancers bool
	// DataCentre is that of the watcher.
	DataCentre balsampier.DataCentre
	// Local limits the agents to those of DataCentre.
	Local bool
}

// InterestOf returns what member m needs: a balancer all agents, or with local
// those of its data centre; an agent the agents of its service and the
// balancers of its data centre. Both need the control instances.
func InterestOf(m balsampier.Member, local bool) Interest {
	switch m.Role {
	case balsampier.RoleBalancer:
		return Interest{Agents: true, DataCentre: m.DataCentre, Local: local}
	case balsampier.RoleAgent:
		return Interest{Agents: true, Service: m.Service, Balancers: true, DataCentre: m.DataCentre}
	default:
		return Interest{Everything: true}
	}
}

// Includes reports whether the watcher needs to know m.
func (i Interest) Includes(m balsampier.Member) bool {
	if i.Everything || m.Role == balsampier.RoleControl {
		return true
	}
	if m.Role == balsampier.RoleBalancer {
		return i.Balancers && m.DataCentre == i.DataCentre
	}
	return i.Agents && (i.Service == "" || m.Service == i.Service) && (!i.Local || m.DataCentre == i.DataCentre)
}
