package control

import (
	"slices"
	"strings"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/query/members"
)

// measureSnapshots measures the size of the first snapshot that a watcher
// receives, and how long its transfer takes.
func (b *bench) measureSnapshots(f fleet) {
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
		b.reportAtMost(t.name+".bytes", f.agents, float64(n), members.DefaultBudget*7/8*seconds(rolloutBound))
		b.reportAtMost(t.name+".seconds", f.agents, transferSeconds(n), seconds(rolloutBound))
	}
}

// measureRenewals measures the traffic of lease renewals and digests, and the
// renewals a second for each control instance.
func (b *bench) measureRenewals(f fleet) {
	interval := seconds(lease.RenewInterval)
	k := float64(len(f.view.Members)) / interval
	n := 0
	for _, m := range f.view.Members {
		n = max(n, wireSizes.Member(m)+20)
	}
	b.reportAtMost("renewal.memberBytesPerSecond", f.agents, float64(n+32)/interval, members.DefaultBudget)
	b.reportFigure("renewal.perSecondAndInstance", f.agents, k/controlInstances)
	bitmap := (len(f.view.Members) + 7) / 8
	b.reportAtMost("digest.bytesPerSecond", f.agents, float64(bitmap+32)/seconds(digestInterval), members.DefaultBudget)
}

// digestInterval is the time between two lease digests of a control instance.
const digestInterval = 250 * time.Millisecond

// measureRules measures the traffic of a rule file with one changed line, sent
// as a delta, and of a whole rule file.
func (b *bench) measureRules(f fleet) {
	d := members.NewRulesDelta(f.rules, f.editedRules())
	n := wireSizes.Message + wireSizes.File(d.File) + len(d.Insert)
	b.reportAtMost("rules.line.bytes", f.agents, float64(n), members.DefaultBudget)
	b.reportAtMost("rules.line.bytesPerSecond", f.agents, float64(n)*changesPerDay/seconds(day), members.DefaultBudget)
	b.reportAtMost("rules.whole.bytes", f.agents, float64(len(f.rules.Text)), members.DefaultBudget*7/8*seconds(rolloutBound))
	b.reportAtMost("rules.whole.seconds", f.agents, transferSeconds(len(f.rules.Text)), seconds(rolloutBound))
}

// editedRules returns the next revision of the rule file, with the hours of one
// rule changed.
func (f fleet) editedRules() balsampier.RuleFile {
	g := f.rules
	g.Revision++
	i := len(g.Text) / 2
	g.Text = g.Text[:i] + strings.Replace(g.Text[i:], "08:00-20:00", "09:30-21:30", 1)
	return g
}

// measureSteadyTraffic measures the membership traffic that a balancer receives
// on an ordinary day, in bytes a second.
func (b *bench) measureSteadyTraffic(f fleet) {
	m := float64(wireSizes.Member(f.watcher(balsampier.RoleAgent)) + wireSizes.Message)
	// A restart removes a member and adds it again; a failure only removes one.
	churn := (restartsPerDay*2*m + failuresPerDay*m) / seconds(day) * float64(f.agents) / maxAgents
	b.reportAtMost("steady.membersBytesPerSecond", f.agents, churn, members.DefaultBudget)
}

// measureReturns measures what the agents of a data centre or region cost a
// balancer when they rejoin at once, in one batch of the longest delay.
func (b *bench) measureReturns(f fleet) {
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
		b.reportAtMost(t.name+".balancer.bytes", f.agents, float64(n), members.DefaultBudget*7/8*seconds(rolloutBound))
		b.reportAtMost(t.name+".balancer.seconds", f.agents, transferSeconds(n)+seconds(lease.MaxBatchDelay+commitDelay), seconds(rolloutBound))
	}
}
