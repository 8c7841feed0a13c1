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
	// message to each agent asks for many.
	searchDelay = 10 * time.Millisecond
	// searchInterval spaces searches: each is a message to every agent, of
	// which a small balancer handles some hundreds a second.
	searchInterval = 60 * time.Millisecond
	// searchTimeout bounds the wait for the answers to a search.
	searchTimeout = 80 * time.Millisecond
	// maxSearched bounds the flows of one search: with 8 bytes each a message
	// stays below 1 KB.
	maxSearched = 100
	// goneAfter is how many searches in turn an agent that left the view leaves
	// unanswered until it is not waited for: more than a few lost datagrams.
	goneAfter = 3
	// goneFor is how long an agent of the view has to be silent besides: longer
	// than an agent takes to start again, and less than its lease of 5 s.
	goneFor = 3500 * time.Millisecond
	// goneValid is how long that is believed without another search: longer
	// than againMost.
	goneValid = 3 * time.Second
	// viewLag bounds how much later than others a member may learn of a view.
	viewLag = 2 * time.Second
	// keyBytes is the length of a flow in a search.
	keyBytes = 8
)

type (
	// searches ask all agents for flows that the likely ones do not have.
	searches struct {
		// next is the search that has not begun; empty while there is none.
		next []balsampier.FlowKey
		at   time.Time
		// began is when the newest search began.
		began time.Time
		// under are the searches under way, oldest first.
		under []*search
		// number is that of the newest search.
		number uint64
	}

	search struct {
		number uint64
		keys   []balsampier.FlowKey
		until  time.Time
		// waiting are the agents that have not answered.
		waiting []netip.AddrPort
		// unsure are those that do not know all flows of their server.
		unsure []netip.AddrPort
		// unseen are those that saw an agent of their service leave before
		// this balancer had its first view.
		unseen []netip.AddrPort
		// found has the agents of each flow that was found: two where only one
		// of them was acknowledged.
		found map[uint64][]netip.AddrPort
	}
)

// seek puts a flow into the next search.
func (d *Director) seek(f *flow, t time.Time) {
	q := &d.searches
	f.attempt++
	// Late answers to the first question do not end the search.
	f.waiting = f.waiting[:0]
	if len(q.next) == 0 {
		q.at = t.Add(searchDelay)
		if e := q.began.Add(searchInterval); e.After(q.at) {
			q.at = e
		}
	}
	q.next = append(q.next, f.segment.Key)
	if len(q.next) >= maxSearched {
		d.beginSearch(t)
	}
}

// beginSearch asks all agents that may have flows.
func (d *Director) beginSearch(t time.Time) {
	q := &d.searches
	q.number++
	q.began = t
	s := &search{
		number: q.number, keys: q.next, until: t.Add(searchTimeout), waiting: d.agents.awaited(t),
		found: make(map[uint64][]netip.AddrPort),
	}
	q.next = nil
	q.under = append(q.under, s)
	b := make([]byte, 0, len(s.keys)*keyBytes)
	for _, k := range s.keys {
		b = binary.BigEndian.AppendUint64(b, k.Hi)
	}
	r := balsampier.Relay{Kind: balsampier.RelaySearch, Flow: balsampier.FlowKey{Lo: s.number}, Revision: d.routes.revision, Payload: b}
	for _, a := range d.agents.all() {
		d.out = append(d.out, Action{To: a, Relay: r})
	}
	d.out = append(d.out, Action{LogEvent: LogEvent{EventName: "search", Candidates: len(s.keys), Revision: d.routes.revision}})
}

// searched takes in what an agent has of a search.
func (d *Director) searched(from netip.AddrPort, r balsampier.Relay, t time.Time) {
	q := &d.searches
	i := slices.IndexFunc(q.under, func(s *search) bool { return s.number == r.Flow.Lo })
	if i < 0 {
		return
	}
	s := q.under[i]
	drop(&s.waiting, from)
	if r.Kind == balsampier.RelayUncertain {
		s.unsure = append(s.unsure, from)
	}
	if r.SinceDeparture > 0 && t.Add(-r.SinceDeparture).Before(d.started.Add(viewLag)) {
		s.unseen = append(s.unseen, from)
	}
	for b := r.Payload; len(b) >= keyBytes; b = b[keyBytes:] {
		k := binary.BigEndian.Uint64(b)
		s.found[k] = append(s.found[k], from)
		d.verify(s, k, from)
	}
	if len(s.waiting) == 0 {
		q.under = slices.Delete(q.under, i, i+1)
		d.endSearch(s, t)
	}
}

// verify asks an agent that has a flow of a search whether it is the one that
// the client acknowledged, without a wait for the others.
func (d *Director) verify(s *search, k uint64, from netip.AddrPort) {
	i := slices.IndexFunc(s.keys, func(x balsampier.FlowKey) bool { return x.Hi == k })
	if i < 0 {
		return
	}
	if f := d.flows[s.keys[i]]; f != nil && f.state == asking && f.wide && len(f.packets) > 0 && !slices.Contains(f.tried, from) {
		d.relay(f, balsampier.RelayQuery, from, f.packets[0])
	}
}

// endSearch goes on with the flows of a search.
func (d *Director) endSearch(s *search, t time.Time) {
	for _, k := range s.keys {
		f := d.flows[k]
		if f == nil || f.state != asking || !f.wide || len(f.packets) == 0 {
			continue
		}
		f.silent = f.silent || d.missing(f, s.waiting, t)
		f.unseen = f.unseen || d.missing(f, s.unseen, t)
		for _, a := range s.unsure {
			if !slices.Contains(f.unsure, a) && !slices.Contains(f.unsureElse, a) && !slices.Contains(f.tried, a) {
				d.unsure(f, a)
			}
		}
		if as := without(s.found[k.Hi], f.tried); len(as) > 0 {
			d.question(f, as, t)
			continue
		}
		d.try(f, t)
	}
}

// missing reports whether one of the agents may have the flow.
func (d *Director) missing(f *flow, as []netip.AddrPort, t time.Time) bool {
	return slices.ContainsFunc(as, func(w netip.AddrPort) bool {
		a := d.agents.byAddr[w]
		return a != nil && d.mayHave(a, f.segment.Service, t)
	})
}

// tickSearches begins and ends searches whose time has come.
func (d *Director) tickSearches(t time.Time) {
	q := &d.searches
	if len(q.next) > 0 && !t.Before(q.at) {
		d.beginSearch(t)
	}
	for len(q.under) > 0 && !t.Before(q.under[0].until) {
		s := q.under[0]
		q.under = q.under[1:]
		d.agents.missed(s.waiting, t)
		d.out = append(d.out, Action{LogEvent: LogEvent{
			EventName: "search ended", Candidates: len(s.waiting), Reason: balsampier.ReasonTimeout, Revision: d.routes.revision,
		}})
		d.endSearch(s, t)
	}
}

// nextSearch returns when tickSearches has something to do.
func (d *Director) nextSearch() (time.Time, bool) {
	q := &d.searches
	switch {
	case len(q.under) > 0 && (len(q.next) == 0 || q.under[0].until.Before(q.at)):
		return q.under[0].until, true
	case len(q.next) > 0:
		return q.at, true
	}
	return time.Time{}, false
}
