package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// MemberRevision tells what one member has in force.
	MemberRevision struct {
		Member balsampier.Member
		// Revision is zero when the member reported none.
		Revision balsampier.Revision
		// FirstReportedAt is when the member first reported Revision; zero when it
		// reported nothing.
		FirstReportedAt time.Time
	}

	// Rollout summarizes which members have a revision in force.
	Rollout struct {
		// Revision is the accepted revision.
		Revision balsampier.Revision
		// AcceptedAt is when Revision was accepted.
		AcceptedAt time.Time
		// Roles has one element for each role with members, by role.
		Roles []RoleRollout
		// Lagging are members without Revision, those longest behind first; at
		// most as many as were asked for.
		Lagging []LaggingMember
		// Omitted counts the lagging members that Lagging leaves out.
		Omitted int
		// Current are members with Revision, by name, as far as Lagging leaves
		// room for them.
		Current []MemberRevision
		// CurrentOmitted counts the members that Current leaves out.
		CurrentOmitted int
	}

	// RoleRollout counts the members of one role.
	RoleRollout struct {
		Role balsampier.Role
		// InForce counts the members that have the revision in force.
		InForce int
		// Total counts all members of the role.
		Total int
	}

	// LaggingMember is a member that does not have the accepted revision in force.
	LaggingMember struct {
		MemberRevision
		// Behind is how long the member has been without the accepted
		// revision.
		Behind time.Duration
	}
)

// Complete reports whether every member has the revision in force.
func (r Rollout) Complete() bool { return len(r.Lagging)+r.Omitted == 0 }

// NewRollout summarizes at time t which of the members have rule file f in
// force; it lists at most n, the lagging ones first. Control instances apply
// no rules and are left out.
func NewRollout(f balsampier.RuleFile, as []MemberRevision, n int, t time.Time) Rollout {
	r := Rollout{Revision: f.Revision, AcceptedAt: f.AcceptedAt}
	for _, k := range []balsampier.Role{balsampier.RoleBalancer, balsampier.RoleAgent} {
		c := RoleRollout{Role: k}
		for _, a := range as {
			switch {
			case a.Member.Role != k:
				continue
			case a.Revision >= f.Revision:
				c.InForce++
				r.Current = append(r.Current, a)
			default:
				r.Lagging = append(r.Lagging, LaggingMember{MemberRevision: a, Behind: timeBehind(f, t)})
			}
			c.Total++
		}
		if c.Total > 0 {
			r.Roles = append(r.Roles, c)
		}
	}
	slices.SortFunc(r.Lagging, func(x, y LaggingMember) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), x.FirstReportedAt.Compare(y.FirstReportedAt), cmp.Compare(x.Member.ID, y.Member.ID))
	})
	if k := len(r.Lagging) - n; k > 0 {
		r.Omitted, r.Lagging = k, slices.Clone(r.Lagging[:n])
	}
	slices.SortFunc(r.Current, func(x, y MemberRevision) int { return cmp.Compare(x.Member.Name, y.Member.Name) })
	if k := len(r.Current) - (n - len(r.Lagging)); k > 0 {
		r.CurrentOmitted, r.Current = k, slices.Clone(r.Current[:len(r.Current)-k])
	}
	return r
}

func timeBehind(f balsampier.RuleFile, t time.Time) time.Duration { return max(t.Sub(f.AcceptedAt), 0) }
