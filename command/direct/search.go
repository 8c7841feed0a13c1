package direct

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// searchDelay is how long a search waits for more flows, so that one
	// message to each agent covers many.
	searchDelay = 10 * time.Millisecond
	// searchInterval is the minimum interval between searches. Each sends a
	// message to every agent, and a small balancer handles a few hundred
	// messages per second.
	searchInterval = 60 * time.Millisecond
	// searchTimeout is the time-out for the replies to a search.
	searchTimeout = 80 * time.Millisecond
	// maxSearchFlows is the maximum number of flows in a search. At 8 bytes
	// each, a message stays below 1 KB.
	maxSearchFlows = 100
	// minMissedSearches is the number of consecutive searches that an agent
	// must miss to count as unreachable. It exceeds what a few lost datagrams
	// cause.
	minMissedSearches = 3
	// minSilenceWindow is how long an agent that is still in the view must also
	// have been silent. It is longer than an agent takes to restart and shorter
	// than its lease of 5 s.
	minSilenceWindow = 3500 * time.Millisecond
	// unreachableTTL is how long an agent counts as unreachable without another
	// missed search. It is longer than maxRequeryInterval.
	unreachableTTL = 3 * time.Second
	// maxViewDelay is the maximum delay between members in learning of a view.
	maxViewDelay = 2 * time.Second
	// keyBytes is the length of a flow's key in a search.
	keyBytes = 8
)

type (
	// searches holds the lookups that ask all agents, for flows that their
	// likely holders do not have.
	searches struct {
		// pendingKeys are the flows of the next search, which starts at
		// startAt; empty if none is planned.
		pendingKeys []balsampier.FlowKey
		startAt     time.Time
		// lastStart is when the newest search started.
		lastStart time.Time
		// activeSearches are the searches that wait for replies, oldest first.
		activeSearches []*search
		// lastNumber is the number of the newest search.
		lastNumber uint64
	}

	search struct {
		number    uint64
		keys      []balsampier.FlowKey
		expiresAt time.Time
		// pendingAgents are the agents that have not replied yet.
		pendingAgents []netip.AddrPort
		// uncertain are the agents that do not know all flows of their server.
		uncertain []netip.AddrPort
		// sawDeparture are the agents that saw another agent of their service
		// leave before this balancer adopted its first view.
		sawDeparture []netip.AddrPort
		// holdersByKey holds the agents that reported each flow. There are two
		// if a client's opening packet reached both and the client acknowledged
		// only one.
		holdersByKey map[uint64][]netip.AddrPort
	}
)

// enqueueSearch adds a flow to the next search.
func (d *Director) enqueueSearch(f *flow, t time.Time) {
	q := &d.searches
	f.attempt++
	// Late replies to the first query must not end the search.
	f.pendingAgents = f.pendingAgents[:0]
	if len(q.pendingKeys) == 0 {
		q.startAt = t.Add(searchDelay)
		if e := q.lastStart.Add(searchInterval); e.After(q.startAt) {
			q.startAt = e
		}
	}
	q.pendingKeys = append(q.pendingKeys, f.segment.Key)
	if len(q.pendingKeys) >= maxSearchFlows {
		d.startSearch(t)
	}
}

// startSearch sends a search for the pending flows to all agents that may have
// flows.
func (d *Director) startSearch(t time.Time) {
	q := &d.searches
	q.lastNumber++
	q.lastStart = t
	s := &search{
		number: q.lastNumber, keys: q.pendingKeys, expiresAt: t.Add(searchTimeout), pendingAgents: d.agents.expectedRepliers(t),
		holdersByKey: make(map[uint64][]netip.AddrPort),
	}
	q.pendingKeys = nil
	q.activeSearches = append(q.activeSearches, s)
	b := make([]byte, 0, len(s.keys)*keyBytes)
	for _, k := range s.keys {
		b = binary.BigEndian.AppendUint64(b, k.Hi)
	}
	r := balsampier.Relay{Kind: balsampier.RelaySearch, Flow: balsampier.FlowKey{Lo: s.number}, Revision: d.routes.revision, Payload: b}
	for _, a := range d.agents.searchTargets() {
		d.pendingActions = append(d.pendingActions, Action{To: a, Relay: r})
	}
	d.pendingActions = append(d.pendingActions, Action{Event: Event{Name: "search", Candidates: len(s.keys), Revision: d.routes.revision}})
}

// handleSearchReply processes an agent's reply to a search.
func (d *Director) handleSearchReply(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	q := &d.searches
	i := slices.IndexFunc(q.activeSearches, func(s *search) bool { return s.number == r.Flow.Lo })
	if i < 0 {
		return
	}
	s := q.activeSearches[i]
	removeAddr(&s.pendingAgents, from)
	if r.Kind == balsampier.RelayUncertain {
		s.uncertain = append(s.uncertain, from)
	}
	if r.SinceDeparture > 0 && t.Add(-r.SinceDeparture).Before(d.started.Add(maxViewDelay)) {
		s.sawDeparture = append(s.sawDeparture, from)
	}
	for b := r.Payload; len(b) >= keyBytes; b = b[keyBytes:] {
		k := binary.BigEndian.Uint64(b)
		s.holdersByKey[k] = append(s.holdersByKey[k], from)
		d.queryFound(s, k, from)
	}
	if len(s.pendingAgents) == 0 {
		q.activeSearches = slices.Delete(q.activeSearches, i, i+1)
		d.finishSearch(s, t)
	}
}

// queryFound queries an agent that reported a flow whether it is the one that
// the client acknowledged, without waiting for the other agents.
func (d *Director) queryFound(s *search, k uint64, from netip.AddrPort) {
	i := slices.IndexFunc(s.keys, func(x balsampier.FlowKey) bool { return x.Hi == k })
	if i < 0 {
		return
	}
	if f := d.flows[s.keys[i]]; f != nil && f.state == stateQuerying && f.searchedAll && len(f.packets) > 0 && !slices.Contains(f.excludedAgents, from) {
		d.sendRelay(f, balsampier.RelayQuery, from, f.packets[0])
	}
}

// finishSearch continues the lookups of a search's flows.
func (d *Director) finishSearch(s *search, t time.Time) {
	for _, k := range s.keys {
		f := d.flows[k]
		if f == nil || f.state != stateQuerying || !f.searchedAll || len(f.packets) == 0 {
			continue
		}
		f.hasUnanswered = f.hasUnanswered || d.anyMayHold(f, s.pendingAgents, t)
		f.holderMayBeDeparted = f.holderMayBeDeparted || d.anyMayHold(f, s.sawDeparture, t)
		for _, a := range s.uncertain {
			if !slices.Contains(f.uncertain, a) && !slices.Contains(f.uncertainOther, a) && !slices.Contains(f.excludedAgents, a) {
				d.addUncertain(f, a)
			}
		}
		if as := exclude(s.holdersByKey[k.Hi], f.excludedAgents); len(as) > 0 {
			d.queryAgents(f, as, t)
			continue
		}
		d.probeNext(f, t)
	}
}

// anyMayHold reports whether one of the agents may hold the flow.
func (d *Director) anyMayHold(f *flow, as []netip.AddrPort, t time.Time) bool {
	return slices.ContainsFunc(as, func(w netip.AddrPort) bool {
		a := d.agents.byAddr[w]
		return a != nil && d.mayHold(a, f.segment.Service, t)
	})
}

// tickSearches starts and ends the searches that are due at t.
func (d *Director) tickSearches(t time.Time) {
	q := &d.searches
	if len(q.pendingKeys) > 0 && !t.Before(q.startAt) {
		d.startSearch(t)
	}
	for len(q.activeSearches) > 0 && !t.Before(q.activeSearches[0].expiresAt) {
		s := q.activeSearches[0]
		q.activeSearches = q.activeSearches[1:]
		d.agents.recordMissedSearch(s.pendingAgents, t)
		d.pendingActions = append(d.pendingActions, Action{Event: Event{
			Name: "search ended", Candidates: len(s.pendingAgents), Reason: balsampier.ReasonTimeout, Revision: d.routes.revision,
		}})
		d.finishSearch(s, t)
	}
}

// nextSearchDeadline returns when tickSearches has work to do; false if it has
// none.
func (d *Director) nextSearchDeadline() (time.Time, bool) {
	q := &d.searches
	switch {
	case len(q.activeSearches) > 0 && (len(q.pendingKeys) == 0 || q.activeSearches[0].expiresAt.Before(q.startAt)):
		return q.activeSearches[0].expiresAt, true
	case len(q.pendingKeys) > 0:
		return q.startAt, true
	}
	return time.Time{}, false
}
