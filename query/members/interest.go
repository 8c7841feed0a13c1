package members

import "github.com/balsampier/balsampier"

// Interest determines which members a watcher receives. It must not change
// while the watcher is updated by deltas.
type Interest struct {
	// Everything includes all members; set for control instances and tools.
	Everything bool
	// Agents includes agents.
	Agents bool
	// Service limits the agents to one service; empty means all services.
	Service balsampier.ServiceName
	// Balancers includes the balancers of DataCentre.
	Balancers bool
	// DataCentre is the data centre of the watcher.
	DataCentre balsampier.DataCentre
	// Local limits the agents to those in DataCentre.
	Local bool
}

// InterestOf returns the interest of member m: a balancer receives all agents,
// or only those in its data centre if local is true; an agent receives the
// agents of its service and the balancers in its data centre. Both also receive
// the control instances, but not the relays.
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

// Includes reports whether the watcher receives m.
func (i Interest) Includes(m balsampier.Member) bool {
	switch {
	case i.Everything || m.Role == balsampier.RoleControl:
		return true
	case m.Role == balsampier.RoleRelay:
		return false
	case m.Role == balsampier.RoleBalancer:
		return i.Balancers && m.DataCentre == i.DataCentre
	}
	return i.Agents && (i.Service == "" || m.Service == i.Service) && (!i.Local || m.DataCentre == i.DataCentre)
}
