package control

import (
	"slices"
	"strings"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/query/members"
)

// snapshots measures what a watcher that starts has to receive.
func (b *bench) snapshots(f fleet) {
	h := members.NewHistory(f.view)
	tests := []struct {
		name  string
		role  balsampier.Role
		local bool
	}{
		{"snapshot.balancer", balsampier.RoleBalancer, false},
		{"snapshot.balancerLocal", balsampier.RoleBalancer, true},
		{"snapshot.agent", balsampier.RoleAgent, false},
	}
	for _, t := range tests {
		n := 0
		for _, m := range h.Snapshot(members.InterestOf(f.watcher(t.role), t.local)).Changed {
			n += wireSizes.Member(m)
		}
		b.at(t.name+".bytes", f.agents, float64(n), members.DefaultBudget*7/8*seconds(rolloutBound))
		b.at(t.name+".seconds", f.agents, budgetTime(n), seconds(rolloutBound))
	}
}

// renewals measures what the leases cost a member and a control instance.
func (b *bench) renewals(f fleet) {
	interval := seconds(lease.RenewInterval)
	k := float64(len(f.view.Members)) / interval
	n := 0
	for _, m := range f.view.Members {
		n = max(n, wireSizes.Member(m)+20)
	}
	b.at("renewal.memberBytesPerSecond", f.agents, float64(n+32)/interval, members.DefaultBudget)
	b.figure("renewal.perSecondAndInstance", f.agents, k/instances)
	bitmap := (len(f.view.Members) + 7) / 8
	b.at("digest.bytesPerSecond", f.agents, float64(bitmap+32)/seconds(digestInterval), members.DefaultBudget)
}

// digestInterval is the time between two digests of one control instance.
const digestInterval = 250 * time.Millisecond

// rules measures one changed line and a whole file.
func (b *bench) rules(f fleet) {
	d := members.NewRulesDelta(f.rules, f.edited())
	n := wireSizes.Message + wireSizes.File(d.File) + len(d.Insert)
	b.at("rules.line.bytes", f.agents, float64(n), members.DefaultBudget)
	b.at("rules.line.bytesPerSecond", f.agents, float64(n)*changesPerDay/seconds(day), members.DefaultBudget)
	b.at("rules.whole.bytes", f.agents, float64(len(f.rules.Text)), members.DefaultBudget*7/8*seconds(rolloutBound))
	b.at("rules.whole.seconds", f.agents, budgetTime(len(f.rules.Text)), seconds(rolloutBound))
}

// edited returns the rule file with the hours of one rule changed.
func (f fleet) edited() balsampier.RuleFile {
	g := f.rules
	g.Revision++
	i := len(g.Text) / 2
	g.Text = g.Text[:i] + strings.Replace(g.Text[i:], "08:00-20:00", "09:30-21:30", 1)
	return g
}

// steady measures what a balancer receives on an ordinary day.
func (b *bench) steady(f fleet) {
	m := float64(wireSizes.Member(f.watcher(balsampier.RoleAgent)) + wireSizes.Message)
	// Each restart removes a member and brings it back; each failure removes
	// one.
	churn := (restartsPerDay*2*m + failuresPerDay*m) / seconds(day) * float64(f.agents) / largest
	b.at("steady.membersBytesPerSecond", f.agents, churn, members.DefaultBudget)
}

// returned measures what the members of a data centre or region cost when they
// come back together, in one batch of the longest window.
func (b *bench) returned(f fleet) {
	tests := []struct {
		name        string
		dataCentres int
	}{{"dataCentreReturned", 1}, {"regionReturned", regionDataCentres}}
	for _, t := range tests {
		n := 0
		for _, m := range f.view.Members {
			if m.Role == balsampier.RoleAgent && slices.Contains(dataCentreNames[:t.dataCentres], m.DataCentre) {
				n += wireSizes.Member(m)
			}
		}
		b.at(t.name+".balancer.bytes", f.agents, float64(n), members.DefaultBudget*7/8*seconds(rolloutBound))
		b.at(t.name+".balancer.seconds", f.agents, budgetTime(n)+seconds(lease.MaxBatchDelay+commitDelay), seconds(rolloutBound))
	}
}
