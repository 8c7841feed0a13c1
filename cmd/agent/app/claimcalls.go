package app

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/peer"
)

const (
	// maxCallsPerAgent bounds the calls in flight to one agent, so that an
	// agent that does not respond uses up no more than its share.
	maxCallsPerAgent = 32
	// pruneThreshold is the number of clients from which idle ones are closed
	// before another is added.
	pruneThreshold = 64
	// maxReleaseAttempts bounds how often a release is sent. Without a release
	// the key stays claimed until its retention ends.
	maxReleaseAttempts = 4
	releaseRetryDelay  = 100 * time.Millisecond
)

type (
	// claimCall is one call to another agent. Exactly one of claim, release and
	// copy is set.
	claimCall struct {
		to balsampier.Holder
		// run is the run that claims; set together with claim.
		run     runID
		claim   *claim.Claim
		release *claim.Release
		copy    *claim.CopyRequest
	}

	// peerClients holds the clients that call other agents.
	peerClients struct {
		key peer.Key
		// findPeerAddr returns the peer address of an incarnation of an agent.
		findPeerAddr func(balsampier.Holder) (netip.AddrPort, bool)

		mu sync.Mutex
		// clients has an entry for each agent that was called.
		clients map[netip.AddrPort]*peerClient
	}

	// peerClient calls one agent.
	peerClient struct {
		*peer.InstanceClient
		// inFlight is a semaphore with an element for each claim, release or
		// copy in flight.
		inFlight chan struct{}
	}
)

func newPeerClients(k peer.Key, find func(balsampier.Holder) (netip.AddrPort, bool)) *peerClients {
	return &peerClients{key: k, findPeerAddr: find, clients: make(map[netip.AddrPort]*peerClient)}
}

// client returns the client of an agent and creates it on first use. It returns
// an error unless this incarnation of the agent is in the view.
func (s *peerClients) client(h balsampier.Holder) (*peerClient, error) {
	a, ok := s.findPeerAddr(h)
	if !ok {
		return nil, balsampier.NewError(balsampier.KindUnavailable, "find agent", "wait for the next view; the agent has departed or restarted", nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.clients[a]
	if !ok {
		if len(s.clients) >= pruneThreshold {
			s.prune()
		}
		l = &peerClient{InstanceClient: peer.NewInstanceClient(s.key, a), inFlight: make(chan struct{}, maxCallsPerAgent)}
		s.clients[a] = l
	}
	return l, nil
}

// prune closes clients without a claim, release or copy in flight. Outcome
// queries are not counted; one in flight continues, because closing a client
// closes only its idle connections.
func (s *peerClients) prune() {
	for a, l := range s.clients {
		if len(l.inFlight) == 0 {
			l.Close()
			delete(s.clients, a)
		}
	}
}

// runCalls is the thread that calls other agents for the claims thread. Each
// call runs in its own goroutine; maxCallsPerAgent bounds their number.
func (k *claims) runCalls(s *peerClients) func(context.Context) error {
	return func(c context.Context) error {
		var ms [batchSize]claimCall
		for {
			n, err := k.calls.Pop(c, ms[:])
			if err != nil {
				return err
			}
			for i := range ms[:n] {
				k.startCall(c, s, ms[i])
				ms[i] = claimCall{}
			}
		}
	}
}

// startCall starts a call. A claim whose agent is unknown or has too many calls
// in flight fails at once.
func (k *claims) startCall(c context.Context, s *peerClients, m claimCall) {
	l, err := s.client(m.to)
	if err == nil {
		select {
		case l.inFlight <- struct{}{}:
			go func() {
				defer func() { <-l.inFlight }()
				k.performCall(c, l, m)
			}()
			return
		default:
		}
	}
	if m.claim != nil {
		k.post(claimReplyMessage{run: m.run})
	}
}

// performCall makes a call and posts its reply to the claims thread.
func (k *claims) performCall(c context.Context, l *peerClient, m claimCall) {
	switch {
	case m.claim != nil:
		p, err := l.Claim(c, m.to, *m.claim)
		k.post(claimReplyMessage{run: m.run, reply: p, ok: err == nil})
	case m.copy != nil:
		if p, err := l.Copy(c, m.to, *m.copy); err == nil {
			k.post(copyReplyMessage{reply: p})
		}
	case m.release != nil:
		k.sendRelease(c, l, m)
	}
}

// sendRelease sends a release until it succeeds, at most maxReleaseAttempts
// times.
func (k *claims) sendRelease(c context.Context, l *peerClient, m claimCall) {
	for range maxReleaseAttempts {
		if l.Release(c, m.to, *m.release) == nil {
			return
		}
		t := k.clock.NewTimer(releaseRetryDelay)
		select {
		case <-t.C():
		case <-c.Done():
			return
		}
	}
}
