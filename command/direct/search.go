package direct

import (
	"encoding/binary"
	"math"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// searchDelay is how long a search waits for more flows, so that one search
	// covers many.
	searchDelay = 10 * time.Millisecond
	// searchInterval is the minimum interval between searches. Each costs every
	// agent a message, whoever passes it on.
	searchInterval = 60 * time.Millisecond
	// searchTimeout is the shortest time-out for the replies to a search, after
	// its last message was sent.
	searchTimeout = 80 * time.Millisecond
	// searchLinkShare is the share of the balancer's link that searches may
	// use. The packets of known flows need the rest.
	searchLinkShare = 0.25
	// searchBatchInterval is the interval between the batches of messages of a
	// search, whose size keeps to searchLinkShare.
	searchBatchInterval = 10 * time.Millisecond
	// searchMessageBytes is the length of a search without keys: the sealed
	// relay and the heads of its datagram.
	searchMessageBytes = 100
	// minCollectTargets is the number of agents from which on a search is sent
	// to collectors, which pass it on. For fewer, one message each is quicker.
	minCollectTargets = 32
	// targetBytes is the encoded length of an IPv4 address in such a message.
	targetBytes = 7
	// collectTime is how long a collector waits for replies.
	collectTime = 30 * time.Millisecond
	// maxSearchWait is how long a flow whose client sends nothing more waits
	// for a search. A client's retransmissions are at most 1.6 s apart.
	maxSearchWait = 2 * time.Second
	// maxSearchFlows is the maximum number of flows in a search. At 8 bytes
	// each, a message stays below 1 KB.
	maxSearchFlows = 100
	// minMissedSearches is the number of consecutive searches that an agent
	// must miss to count as gone. It exceeds what a few lost datagrams cause.
	minMissedSearches = 3
	// minSilenceInView is how long an agent in the view must also have been
	// silent. It covers a restart of 3 s and maxViewDelay, after which the view
	// shows the new run.
	minSilenceInView = 5 * time.Second
	// minSilenceOutsideView is the same for an agent that has left the view, and
	// is longer than a usual restart.
	minSilenceOutsideView = 1500 * time.Millisecond
	// maxSilenceGap is the maximum time between two missed searches of the same
	// silence. It is longer than maxRequeryInterval and a search.
	maxSilenceGap = 3 * time.Second
	// unreachableTTL is how long no reply is expected from an agent without
	// another missed search. It is shorter than maxSilenceGap, so that the next one
	// continues the silence.
	unreachableTTL = 2 * time.Second
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
		// sendAt is when the next batch of messages may be sent.
		sendAt time.Time
		// lastNumber is the number of the newest search.
		lastNumber uint64
	}

	search struct {
		number    uint64
		startedAt time.Time
		keys      []balsampier.FlowKey
		// unsentAgents are the agents that the search has yet to be sent to.
		unsentAgents []netip.AddrPort
		// collects is true while the search is sent to collectors. Agents whose
		// replies are missing afterwards are sent the search directly.
		collects bool
		// groups holds the agents that each collector was asked for and has not
		// reported on yet.
		groups map[netip.AddrPort][]netip.AddrPort
		// expiresAt is when the replies time out; valid once unsentAgents is
		// empty.
		expiresAt time.Time
		// pendingAgents are the agents that have not replied yet, with those
		// that the search has yet to be sent to.
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
	if len(q.pendingKeys) >= maxSearchFlows && q.unsent() == nil {
		d.startSearch(t)
	}
}

// unsent returns the oldest search that has yet to be sent to some agents, or
// nil if there is none.
func (q *searches) unsent() *search {
	for _, s := range q.activeSearches {
		if len(s.unsentAgents) > 0 {
			return s
		}
	}
	return nil
}

func (q *searches) remove(s *search) {
	q.activeSearches = slices.DeleteFunc(q.activeSearches, func(x *search) bool { return x == s })
}

// startSearch begins a search for the pending flows at all agents that may have
// flows. Flows that no longer wait are left out.
func (d *Director) startSearch(t time.Time) {
	q := &d.searches
	var keys []balsampier.FlowKey
	for len(q.pendingKeys) > 0 && len(keys) < maxSearchFlows {
		k := q.pendingKeys[0]
		q.pendingKeys = q.pendingKeys[1:]
		f := d.flows[k]
		switch {
		case !f.awaitsSearch() || slices.Contains(keys, k):
		case t.Sub(f.lastPacketAt) > maxSearchWait:
			d.logEvent("abandoned", f, netip.AddrPort{}, balsampier.ReasonTimeout, 0)
			d.evict(k, f)
		default:
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	q.lastNumber++
	q.lastStart = t
	s := &search{
		number: q.lastNumber, startedAt: t, keys: keys, unsentAgents: d.searchOrder(keys), pendingAgents: d.agents.expectedRepliers(t),
		holdersByKey: make(map[uint64][]netip.AddrPort),
	}
	if len(s.unsentAgents) >= minCollectTargets {
		s.collects, s.groups = true, make(map[netip.AddrPort][]netip.AddrPort)
	}
	q.activeSearches = append(q.activeSearches, s)
	d.pendingActions = append(d.pendingActions, Action{Event: Event{Name: "search", Candidates: len(s.keys), Revision: d.routes.revision}})
	if !t.Before(q.sendAt) {
		d.sendSearch(s, t)
	}
}

// searchOrder returns the agents that are sent a search: those of the services
// that may have its flows come first.
func (d *Director) searchOrder(keys []balsampier.FlowKey) []netip.AddrPort {
	likely := make(map[balsampier.ServiceName]bool)
	for _, k := range keys {
		for _, s := range d.routes.possibleServices(d.flows[k].segment.Service) {
			likely[s] = true
		}
	}
	as := d.agents.searchTargets()
	slices.SortStableFunc(as, func(x, y netip.AddrPort) int {
		switch lx, ly := likely[d.agents.byAddr[x].service], likely[d.agents.byAddr[y].service]; {
		case lx == ly:
			return 0
		case lx:
			return -1
		}
		return 1
	})
	return as
}

// sendSearch sends the next batch of a search's messages.
func (d *Director) sendSearch(s *search, t time.Time) {
	b := make([]byte, 0, len(s.keys)*keyBytes)
	for _, k := range s.keys {
		b = binary.BigEndian.AppendUint64(b, k.Hi)
	}
	r := balsampier.Relay{Kind: balsampier.RelaySearch, Flow: balsampier.FlowKey{Lo: s.number}, Revision: d.routes.revision, Payload: b}
	sent, budget := 0, d.searchBatchBytes()
	for len(s.unsentAgents) > 0 && (sent == 0 || sent < budget) {
		n := 1
		if s.collects {
			n = min(len(s.unsentAgents), balsampier.MaxCollectTargets)
			r.Kind, r.Targets = balsampier.RelayCollect, s.unsentAgents[:n:n]
		}
		to := s.unsentAgents[0]
		if s.collects {
			to = d.agents.collector(r.Targets, s.keys[0], t)
			s.groups[to] = r.Targets
		}
		d.pendingActions = append(d.pendingActions, Action{To: to, Relay: r})
		s.unsentAgents = s.unsentAgents[n:]
		sent += searchMessageBytes + len(b) + len(r.Targets)*targetBytes
	}
	// The pause is that of one batch, or longer if a single message exceeds it.
	d.searches.sendAt = t.Add(max(searchBatchInterval, d.searchTime(sent)))
	if len(s.unsentAgents) == 0 {
		w := max(searchTimeout, 2*d.replyTimeout(0))
		if s.collects {
			w = collectTime + d.replyTimeout(queryTimeout)
		}
		s.expiresAt = t.Add(w)
	}
}

// collector returns one of the agents, if possible one from which a reply is
// expected soon. It depends on the flow, so that the searches of all balancers
// spread over the agents.
func (g *agents) collector(as []netip.AddrPort, k balsampier.FlowKey, t time.Time) netip.AddrPort {
	var likely, all []*agent
	for _, x := range as {
		a := g.byAddr[x]
		all = append(all, a)
		if a.departedAt.IsZero() && !a.draining && a.silence.missed == 0 && !t.Before(a.suspectUntil) {
			likely = append(likely, a)
		}
	}
	if len(likely) == 0 {
		likely = all
	}
	return highestScored(k, likely, 1)[0].addr
}

// searchBatchBytes returns how many bytes of a search are sent at once.
func (d *Director) searchBatchBytes() int {
	if d.config.LinkBytesPerSecond <= 0 {
		return math.MaxInt
	}
	return int(d.config.LinkBytesPerSecond * searchLinkShare * searchBatchInterval.Seconds())
}

// searchTime returns how long searches may take to send n bytes.
func (d *Director) searchTime(n int) time.Duration {
	if d.config.LinkBytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(n) / (d.config.LinkBytesPerSecond * searchLinkShare) * float64(time.Second))
}

// awaitsSearch reports whether the flow waits for the result of a search.
func (f *flow) awaitsSearch() bool {
	return f != nil && f.state == stateQuerying && f.searchedAll && len(f.packets) > 0
}

// handleSearchReply processes an agent's reply to a search.
func (d *Director) handleSearchReply(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	s := d.searches.find(r.Flow.Lo)
	if s == nil {
		return
	}
	x := balsampier.SearchResult{Agent: from, Uncertain: r.Kind == balsampier.RelayUncertain, SinceDeparture: r.SinceDeparture}
	for b := r.Payload; len(b) >= keyBytes; b = b[keyBytes:] {
		x.Flows = append(x.Flows, binary.BigEndian.Uint64(b))
	}
	d.addResult(s, x, t)
	d.finishIfComplete(s, t)
}

// handleCollected processes the replies that a collector reports. The agents
// that it does not list have none of the flows.
func (d *Director) handleCollected(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	s := d.searches.find(r.Flow.Lo)
	if s == nil || s.groups[from] == nil {
		return
	}
	rest := slices.Clone(s.groups[from])
	delete(s.groups, from)
	for _, x := range r.Results {
		if removeAddr(&rest, x.Agent) && !x.Missing {
			d.addResult(s, x, t)
		}
	}
	for _, a := range rest {
		d.addResult(s, balsampier.SearchResult{Agent: a}, t)
	}
	d.finishIfComplete(s, t)
}

func (q *searches) find(number uint64) *search {
	i := slices.IndexFunc(q.activeSearches, func(s *search) bool { return s.number == number })
	if i < 0 {
		return nil
	}
	return q.activeSearches[i]
}

// addResult adds the reply of one agent to a search.
func (d *Director) addResult(s *search, x balsampier.SearchResult, t time.Time) {
	removeAddr(&s.pendingAgents, x.Agent)
	if a := d.agents.byAddr[x.Agent]; a != nil {
		a.silence = silence{}
	}
	if x.Uncertain {
		s.uncertain = append(s.uncertain, x.Agent)
	}
	if x.SinceDeparture > 0 && t.Add(-x.SinceDeparture).Before(d.started.Add(maxViewDelay)) {
		s.sawDeparture = append(s.sawDeparture, x.Agent)
	}
	for _, k := range x.Flows {
		s.holdersByKey[k] = append(s.holdersByKey[k], x.Agent)
		d.queryFound(s, k, x.Agent)
	}
}

// finishIfComplete finishes a search once all its agents have replied. If some
// replies are missing after all collectors have reported, those agents are sent
// the search directly.
func (d *Director) finishIfComplete(s *search, t time.Time) {
	switch {
	case len(s.pendingAgents) == 0:
		d.searches.remove(s)
		d.finishSearch(s, t)
	case s.collects && len(s.unsentAgents) == 0 && len(s.groups) == 0:
		s.searchDirectly()
	}
}

// searchDirectly makes a search go to the agents whose replies are missing.
func (s *search) searchDirectly() {
	s.collects, s.groups = false, nil
	s.unsentAgents = slices.Clone(s.pendingAgents)
}

// queryFound queries an agent that reported a flow whether it is the one that
// the client acknowledged, without waiting for the other agents.
func (d *Director) queryFound(s *search, k uint64, from netip.AddrPort) {
	i := slices.IndexFunc(s.keys, func(x balsampier.FlowKey) bool { return x.Hi == k })
	if i < 0 {
		return
	}
	if f := d.flows[s.keys[i]]; f.awaitsSearch() && !slices.Contains(f.excludedAgents, from) {
		d.sendRelay(f, balsampier.RelayQuery, from, f.packets[0])
	}
}

// finishSearch continues the lookups of a search's flows. A lookup that began
// after the search waits for a later one.
func (d *Director) finishSearch(s *search, t time.Time) {
	missing := append(d.agents.reachable(s.pendingAgents, t), d.agents.seenSince(s.startedAt)...)
	for _, k := range s.keys {
		f := d.flows[k]
		if !f.awaitsSearch() || f.stateSince.After(s.startedAt) {
			continue
		}
		f.hasUnanswered = f.hasUnanswered || d.anyMayHold(f, missing, t)
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

// tickSearches starts, continues and ends the searches that are due at t.
func (d *Director) tickSearches(t time.Time) {
	q := &d.searches
	for _, s := range slices.Clone(q.activeSearches) {
		switch {
		case !s.isExpired(t):
		case s.collects && len(s.pendingAgents) > 0:
			s.searchDirectly()
		default:
			q.remove(s)
			d.agents.recordMissedSearch(s.pendingAgents, t)
			d.pendingActions = append(d.pendingActions, Action{Event: Event{
				Name: "search ended", Candidates: len(s.pendingAgents), Reason: balsampier.ReasonTimeout, Revision: d.routes.revision,
			}})
			d.finishSearch(s, t)
		}
	}
	for s := q.unsent(); s != nil && !t.Before(q.sendAt); s = q.unsent() {
		if slices.ContainsFunc(s.keys, func(k balsampier.FlowKey) bool { return d.flows[k].awaitsSearch() }) {
			d.sendSearch(s, t)
			continue
		}
		// All flows have been found: the other agents need not be asked.
		q.remove(s)
	}
	if len(q.pendingKeys) > 0 && q.unsent() == nil && !t.Before(q.startAt) {
		d.startSearch(t)
	}
}

func (s *search) isExpired(t time.Time) bool {
	return len(s.unsentAgents) == 0 && !t.Before(s.expiresAt)
}

// nextSearchDeadline returns when tickSearches has work to do; false if it has
// none.
func (d *Director) nextSearchDeadline() (at time.Time, ok bool) {
	q := &d.searches
	earliest := func(t time.Time) {
		if !ok || t.Before(at) {
			at, ok = t, true
		}
	}
	for _, s := range q.activeSearches {
		if len(s.unsentAgents) == 0 {
			earliest(s.expiresAt)
		}
	}
	switch {
	case q.unsent() != nil:
		earliest(q.sendAt)
	case len(q.pendingKeys) > 0:
		earliest(q.startAt)
	}
	return at, ok
}
