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
	// maxCallsEach bounds the calls to one agent that are under way, so that
	// one that does not answer takes no more than its share.
	maxCallsEach = 32
	// maxLinks is the number of agents above which those that left are looked
	// for.
	maxLinks = 64
	// releaseTries bounds how often a release is sent; without it the key
	// stays taken until the retention ends.
	releaseTries = 4
	releasePause = 100 * time.Millisecond
)

type (
	// claimCall is one call to another agent; one pointer is set.
	claimCall struct {
		to balsampier.Holder
		// run is set with claim.
		run     runID
		claim   *claim.Claim
		release *claim.Release
		copy    *claim.CopyRequest
	}

	// callers calls other agents.
	callers struct {
		key peer.Key
		// find returns the address of a run of an agent.
		find func(balsampier.Holder) (netip.AddrPort, bool)

		mu sync.Mutex
		// links has one for each agent that was called.
		links map[netip.AddrPort]*link
	}

	link struct {
		*peer.InstanceClient
		// room holds a token for each call under way.
		room chan struct{}
	}
)

func newCallers(k peer.Key, find func(balsampier.Holder) (netip.AddrPort, bool)) *callers {
	return &callers{key: k, find: find, links: make(map[netip.AddrPort]*link)}
}

// link returns the way to a run of an agent.
func (s *callers) link(h balsampier.Holder) (*link, error) {
	a, ok := s.find(h)
	if !ok {
		return nil, balsampier.NewError(balsampier.KindUnavailable, "find agent", "it has left or restarted", nil)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.links[a]
	if !ok {
		if len(s.links) >= maxLinks {
			s.prune()
		}
		l = &link{InstanceClient: peer.NewInstanceClient(s.key, a), room: make(chan struct{}, maxCallsEach)}
		s.links[a] = l
	}
	return l, nil
}

// prune closes links without calls; those in use are opened again.
func (s *callers) prune() {
	for a, l := range s.links {
		if len(l.room) == 0 {
			l.Close()
			delete(s.links, a)
		}
	}
}

// makeCalls is the thread that calls other agents for the claims thread. Each
// call has a goroutine that ends with it; their number is bounded by link.
func (k *claims) makeCalls(s *callers) func(context.Context) error {
	return func(c context.Context) error {
		var ms [batchSize]claimCall
		for {
			n, err := k.calls.Pop(c, ms[:])
			if err != nil {
				return err
			}
			for i := range ms[:n] {
				k.makeCall(c, s, ms[i])
				ms[i] = claimCall{}
			}
		}
	}
}

func (k *claims) makeCall(c context.Context, s *callers, m claimCall) {
	l, err := s.link(m.to)
	if err == nil {
		select {
		case l.room <- struct{}{}:
			go func() {
				defer func() { <-l.room }()
				k.callOne(c, l, m)
			}()
			return
		default:
		}
	}
	if m.claim != nil {
		k.post(repliedMessage{run: m.run})
	}
}

func (k *claims) callOne(c context.Context, l *link, m claimCall) {
	switch {
	case m.claim != nil:
		p, err := l.Claim(c, m.to, *m.claim)
		k.post(repliedMessage{run: m.run, reply: p, ok: err == nil})
	case m.copy != nil:
		if p, err := l.Copy(c, m.to, *m.copy); err == nil {
			k.post(copiedMessage{reply: p})
		}
	case m.release != nil:
		k.release(c, l, m)
	}
}

func (k *claims) release(c context.Context, l *link, m claimCall) {
	for range releaseTries {
		if l.Release(c, m.to, *m.release) == nil {
			return
		}
		t := k.clock.NewTimer(releasePause)
		select {
		case <-t.C():
		case <-c.Done():
			return
		}
	}
}
