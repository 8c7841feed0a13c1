// Package collect passes the search of a balancer on to other agents and
// collects their replies into one. A balancer then sends a few messages for a
// search of the whole fleet, and not one to each agent. It is a pure state
// machine: its inputs are relays and the time, its outputs are relays.
package collect

import (
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/balsampier/balsampier"
)

const (
	// replyTimeout is how long replies are waited for: several round trips
	// between agents.
	replyTimeout = 30 * time.Millisecond
	// maxCollections bounds the searches in progress. Further ones are dropped;
	// the balancer then asks the agents itself.
	maxCollections = 512
	// keyLength is the length of a flow's hash in a reply, in bytes.
	keyLength = 8
)

type (
	// Collector holds the searches in progress of one agent. It is not safe for
	// concurrent use.
	Collector struct {
		// collections are the searches in progress, oldest first.
		collections []*collection
		lastNumber  uint64
		actions     []Action
	}

	collection struct {
		// number identifies the search in the messages to the agents,
		// balancerNumber in those of the balancer.
		number, balancerNumber uint64
		balancer               netip.AddrPort
		revision               balsampier.Revision
		expiresAt              time.Time
		// pending are the agents that have not replied yet.
		pending []netip.AddrPort
		results []balsampier.SearchResult
	}

	// Action is a relay to send.
	Action struct {
		To    netip.AddrPort
		Relay balsampier.Relay
	}
)

// PopActions removes and returns the pending actions, in order.
func (c *Collector) PopActions() []Action {
	out := c.actions
	c.actions = nil
	return out
}

// NextTick returns when Tick must be called next; false if no search is in
// progress.
func (c *Collector) NextTick() (time.Time, bool) {
	if len(c.collections) == 0 {
		return time.Time{}, false
	}
	return c.collections[0].expiresAt, true
}

// HandleRequest passes a search of the balancer on at time t.
func (c *Collector) HandleRequest(balancer netip.AddrPort, r balsampier.Relay, t time.Time) {
	if len(c.collections) >= maxCollections || len(r.Targets) == 0 {
		return
	}
	c.lastNumber++
	c.collections = append(c.collections, &collection{
		number: c.lastNumber, balancerNumber: r.Flow.Lo, balancer: balancer, revision: r.Revision,
		expiresAt: t.Add(replyTimeout), pending: slices.Clone(r.Targets),
	})
	q := balsampier.Relay{
		Kind: balsampier.RelayPassedSearch, Flow: balsampier.FlowKey{Lo: c.lastNumber}, Revision: r.Revision,
		Targets: []netip.AddrPort{balancer}, Payload: slices.Clone(r.Payload),
	}
	for _, a := range r.Targets {
		c.actions = append(c.actions, Action{To: a, Relay: q})
	}
}

// HandleReply records the reply of an agent to a search.
func (c *Collector) HandleReply(from netip.AddrPort, r balsampier.Relay) {
	i := slices.IndexFunc(c.collections, func(x *collection) bool { return x.number == r.Flow.Lo })
	if i < 0 {
		return
	}
	x := c.collections[i]
	k := slices.Index(x.pending, from)
	if k < 0 {
		return
	}
	x.pending = slices.Delete(x.pending, k, k+1)
	s := balsampier.SearchResult{Agent: from, Uncertain: r.Kind == balsampier.RelayUncertain, SinceDeparture: r.SinceDeparture}
	for b := r.Payload; len(b) >= keyLength; b = b[keyLength:] {
		s.Flows = append(s.Flows, binary.BigEndian.Uint64(b))
	}
	if s.Uncertain || s.SinceDeparture > 0 || len(s.Flows) > 0 {
		x.results = append(x.results, s)
	}
	if len(x.pending) == 0 {
		c.collections = slices.Delete(c.collections, i, i+1)
		c.finish(x)
	}
}

// Tick ends the searches whose replies have timed out at time t.
func (c *Collector) Tick(t time.Time) {
	for len(c.collections) > 0 && !t.Before(c.collections[0].expiresAt) {
		x := c.collections[0]
		c.collections = c.collections[1:]
		for _, a := range x.pending {
			x.results = append(x.results, balsampier.SearchResult{Agent: a, Missing: true})
		}
		c.finish(x)
	}
}

func (c *Collector) finish(x *collection) {
	c.actions = append(c.actions, Action{To: x.balancer, Relay: balsampier.Relay{
		Kind: balsampier.RelayCollected, Flow: balsampier.FlowKey{Lo: x.balancerNumber}, Revision: x.revision, Results: x.results,
	}})
}
