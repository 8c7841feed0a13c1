package operator

import (
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/query/members"
)

type (
	// Status is the roll-out status of the accepted rule file.
	Status struct {
		Revision   balsampier.Revision `json:"revision"`
		AcceptedAt time.Time           `json:"acceptedAt"`
		Epoch      balsampier.Epoch    `json:"epoch"`
		Leader     string              `json:"leader"`
		Roles      []RoleStatus        `json:"roles"`
		// Members starts with the lagging members, lowest revision first. Its
		// length is limited by the responding instance.
		Members []MemberStatus `json:"members"`
		// Omitted counts the members that are not in Members.
		Omitted int `json:"omitted"`
	}

	// RoleStatus is the roll-out status of the members of one role.
	RoleStatus struct {
		Role string `json:"role"`
		// InForce counts the members that have the accepted revision in force.
		InForce int `json:"inForce"`
		Total   int `json:"total"`
	}

	// MemberStatus is the roll-out status of one member.
	MemberStatus struct {
		Name       string                 `json:"name"`
		Role       string                 `json:"role"`
		DataCentre balsampier.DataCentre  `json:"dataCentre,omitempty"`
		Service    balsampier.ServiceName `json:"service,omitempty"`
		Draining   bool                   `json:"draining,omitempty"`
		// RevisionInForce is the revision that the member last reported as in
		// force.
		RevisionInForce balsampier.Revision `json:"inForce"`
		// Lagging is true while the member does not have the accepted revision
		// in force.
		Lagging bool `json:"lagging,omitempty"`
		// Unreported is true until the member has reported its revision to the
		// present leader.
		Unreported bool `json:"unreported,omitempty"`
		// Behind is how long a lagging member has lacked the accepted
		// revision, which is the time since its acceptance; zero if the member
		// is unreported.
		Behind Duration `json:"behind,omitzero"`
	}

	// Duration is encoded as a string such as 1m30s.
	Duration time.Duration
)

// NewStatus returns the status of roll-out r at epoch e.
func NewStatus(r members.Rollout, e balsampier.Epoch, leader string) Status {
	s := Status{
		Revision: r.Revision, AcceptedAt: r.AcceptedAt, Epoch: e, Leader: leader,
		Omitted: r.Omitted + r.CurrentOmitted,
	}
	for _, k := range r.Roles {
		s.Roles = append(s.Roles, RoleStatus{Role: k.Role.String(), InForce: k.InForce, Total: k.Total})
	}
	for _, a := range r.Lagging {
		m := newMemberStatus(a.MemberRevision)
		m.Lagging, m.Unreported = true, a.FirstReportedAt.IsZero()
		if !m.Unreported {
			m.Behind = Duration(a.Behind)
		}
		s.Members = append(s.Members, m)
	}
	for _, a := range r.Current {
		s.Members = append(s.Members, newMemberStatus(a))
	}
	return s
}

func newMemberStatus(a members.MemberRevision) MemberStatus {
	return MemberStatus{
		Name: a.Member.Name, Role: a.Member.Role.String(), DataCentre: a.Member.DataCentre,
		Service: a.Member.Service, Draining: a.Member.Draining, RevisionInForce: a.Revision,
	}
}

// IsInForce reports whether every member has revision r or a later one in
// force. Members is sorted by revision, lowest first, so the omitted members
// have no lower revision than the listed ones.
func (s Status) IsInForce(r balsampier.Revision) bool {
	if s.Revision < r {
		return false
	}
	for _, m := range s.Members {
		if m.RevisionInForce < r {
			return false
		}
	}
	return true
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(b []byte) error {
	v, err := time.ParseDuration(string(b))
	*d = Duration(v)
	return err
}
