package app

import (
	"context"
	"net/netip"
	"sync"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/ring"
)

const (
	// maxLinks bounds the other instances that are spoken to: nine replicas
	// and those that took the place of lost ones within one run.
	maxLinks  = 64
	peerDepth = 512
)

type (
	// peerLink leads to one other control instance.
	peerLink struct {
		name   string
		caller *peer.InstanceClient
		out    *ring.Ring[replicate.Message]
	}

	// links holds the links to the other control instances. It is safe for
	// concurrent use.
	links struct {
		key  peer.Key
		self balsampier.InstanceID
		// open is true where instances are known by their address only, so
		// that a link can be made for any ID.
		open bool
		// added leads new links to the thread that serves them.
		added *ring.Ring[*peerLink]

		mu sync.Mutex
		// m has at most maxLinks entries and none for self.
		m map[balsampier.InstanceID]*peerLink
	}
)

func newLinks(k peer.Key, self balsampier.InstanceID, open bool) *links {
	return &links{
		key: k, self: self, open: open, m: make(map[balsampier.InstanceID]*peerLink),
		added: ring.New[*peerLink]("links", maxLinks, ring.DropNewest),
	}
}

// get returns the link to an instance; ok is false for the own and for unknown
// ones.
func (l *links) get(i balsampier.InstanceID) (p *peerLink, ok bool) {
	if i == l.self || i == 0 {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if p, ok = l.m[i]; ok || !l.open || len(l.m) >= maxLinks {
		return p, ok
	}
	return l.add(i, i.Addr().String(), i.Addr()), true
}

// configure adds a configured instance.
func (l *links) configure(i balsampier.InstanceID, name string, a netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(i, name, a)
}

// add is called with mu held.
func (l *links) add(i balsampier.InstanceID, name string, a netip.AddrPort) *peerLink {
	p := &peerLink{
		name: name, caller: peer.NewInstanceClient(l.key, a),
		out: ring.New[replicate.Message]("to "+name, peerDepth, ring.DropNewest),
	}
	l.m[i] = p
	ring.Register(p.out)
	// The ring has room for all links there can be.
	_ = l.added.Push(context.Background(), p)
	return p
}

// all returns the links there are.
func (l *links) all() []*peerLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*peerLink, 0, len(l.m))
	for _, p := range l.m {
		out = append(out, p)
	}
	return out
}

// serveLinks starts a thread for every link.
func (t *Control) serveLinks(c context.Context) error {
	var ps [1]*peerLink
	var threads sync.WaitGroup
	defer threads.Wait()
	for {
		if _, err := t.links.added.Pop(c, ps[:]); err != nil {
			return err
		}
		p := ps[0]
		threads.Go(func() { t.sendTo(c, p) })
	}
}

// sendTo hands messages to one other control instance. What waits behind a
// failed call is dropped: it would come late, and replicas repeat themselves.
func (t *Control) sendTo(c context.Context, p *peerLink) {
	var ms [maxStepMessages]replicate.Message
	reached := true
	for {
		n, err := p.out.Pop(c, ms[:])
		if err != nil {
			return
		}
		x, cancel := context.WithTimeout(c, stepTimeout)
		err = p.caller.Step(x, ms[:n])
		cancel()
		clear(ms[:n])
		if c.Err() != nil {
			return
		}
		if ok := err == nil; ok != reached {
			reached = ok
			t.log.Info().Str("to", p.name).Bool("reached", ok).Err(err).Msg("control instance")
		}
		if err != nil {
			p.out.DiscardAll()
		}
	}
}
