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
	// maxLinks bounds the links to other control instances: at most nine
	// replicas, and the relays. Above it the link that was used least recently
	// is closed, because instances are replaced during a run.
	maxLinks = 64
	// linkRingDepth is the number of messages queued for one instance.
	linkRingDepth = 512
)

type (
	// peerLink queues messages for one other control instance and calls it.
	peerLink struct {
		name   string
		caller *peer.InstanceClient
		out    *ring.Ring[replicate.Message]
		// usedAt counts the uses of all links up to the last use of this one; it
		// is guarded by mu of links.
		usedAt uint64
	}

	// links holds the links to the other control instances. It is safe for
	// concurrent use.
	links struct {
		key  peer.Key
		self balsampier.InstanceID
		// openMembership is true if instances are identified by their address,
		// so that a link can be created for any ID.
		openMembership bool
		// added passes new links to the thread that starts their senders.
		added *ring.Ring[*peerLink]

		mu sync.Mutex
		// byID has at most maxLinks entries and never contains self.
		byID map[balsampier.InstanceID]*peerLink
		// uses counts the uses of all links.
		uses uint64
	}
)

func newLinks(k peer.Key, self balsampier.InstanceID, open bool) *links {
	return &links{
		key: k, self: self, openMembership: open, byID: make(map[balsampier.InstanceID]*peerLink),
		added: ring.New[*peerLink]("links", maxLinks, ring.DropNewest),
	}
}

// getOrCreate returns the link to an instance and creates it if the membership
// is open. ok is false for the own ID and for unknown IDs.
func (l *links) getOrCreate(i balsampier.InstanceID) (p *peerLink, ok bool) {
	if i == l.self || i == 0 {
		return nil, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.uses++
	if p, ok = l.byID[i]; ok || !l.openMembership {
		if ok {
			p.usedAt = l.uses
		}
		return p, ok
	}
	if len(l.byID) >= maxLinks {
		l.closeOldest()
	}
	p = l.add(i, i.Addr().String(), i.Addr())
	p.usedAt = l.uses
	return p, true
}

// closeOldest closes the link that was used least recently, which ends its sender
// thread. The caller holds mu.
func (l *links) closeOldest() {
	var oldest balsampier.InstanceID
	for i, p := range l.byID {
		if oldest == 0 || p.usedAt < l.byID[oldest].usedAt {
			oldest = i
		}
	}
	p := l.byID[oldest]
	delete(l.byID, oldest)
	ring.Unregister(p.out)
	p.out.Close()
	p.caller.Close()
}

// addConfigured creates the link to an instance that is listed in the settings.
func (l *links) addConfigured(i balsampier.InstanceID, name string, a netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.add(i, name, a)
}

// add creates a link. The caller holds mu.
func (l *links) add(i balsampier.InstanceID, name string, a netip.AddrPort) *peerLink {
	p := &peerLink{
		name: name, caller: peer.NewInstanceClient(l.key, a),
		out: ring.New[replicate.Message]("to "+name, linkRingDepth, ring.DropNewest),
	}
	l.byID[i] = p
	ring.Register(p.out)
	// Links are added one at a time and started at once, so that the ring never
	// fills up.
	_ = l.added.Push(context.Background(), p)
	return p
}

// all returns the current links in no particular order.
func (l *links) all() []*peerLink {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*peerLink, 0, len(l.byID))
	for _, p := range l.byID {
		out = append(out, p)
	}
	return out
}

// serveLinks starts a sender thread for each new link and waits for all senders
// before it returns.
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

// sendTo sends queued messages to one other control instance. After a failed
// call it drops the queue: the messages would arrive late, and replicas resend
// what is still needed.
func (t *Control) sendTo(c context.Context, p *peerLink) {
	var ms [maxStepMessages]replicate.Message
	reachable := true
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
		if ok := err == nil; ok != reachable {
			reachable = ok
			t.log.Info().Str("to", p.name).Bool("reached", ok).Err(err).Msg("reachability of control instance changed")
		}
		if err != nil {
			p.out.DiscardAll()
		}
	}
}
