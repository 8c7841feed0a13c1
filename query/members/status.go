package members

import (
	"cmp"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

type (
	// MemberRevision is the rule revision in force at a member.
	MemberRevision struct {
		Member balsampier.Member
		// Revision is zero if the member has not reported one.
		Revision balsampier.Revision
		// FirstReportedAt is when the member first reported Revision; zero if
		// it has not reported one.
		FirstReportedAt time.Time
	}

	// Rollout summarizes which members have the accepted revision in force.
	Rollout struct {
		// Revision is the accepted revision.
		Revision balsampier.Revision
		// AcceptedAt is when Revision was accepted.
		AcceptedAt time.Time
		// Roles has one element per role that has members, ordered by role.
		Roles []RoleRollout
		// Lagging holds the members without Revision, limited to the requested
		// number. Those with the oldest revision come first, and of these the
		// ones that have had it longest.
		Lagging []LaggingMember
		// Omitted is the number of lagging members that are not in Lagging.
		Omitted int
		// Current holds members with Revision, ordered by name, up to what
		// remains of the requested number after Lagging.
		Current []MemberRevision
		// CurrentOmitted is the number of members with Revision that are not in
		// Current.
		CurrentOmitted int
	}

	// RoleRollout counts the members of one role.
	RoleRollout struct {
		Role balsampier.Role
		// InForce is how many members have the revision in force.
		InForce int
		// Total is how many members have the role.
		Total int
	}

	// LaggingMember is a member that does not have the accepted revision in
	// force.
	LaggingMember struct {
		MemberRevision
		// Behind is the time since the accepted revision was accepted.
		Behind time.Duration
	}
)

// Complete reports whether all members have the revision in force.
func (r Rollout) Complete() bool { return len(r.Lagging)+r.Omitted == 0 }

// NewRollout summarizes at time t which members have rule file f in force. It
// lists at most n members, lagging ones first. Control instances apply no rules
// and are not counted.
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
