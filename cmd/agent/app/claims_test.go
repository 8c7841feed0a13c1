package app

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/answer"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/peer"
)

// node is the claims thread of one agent behind a DRPC server on loopback.
type node struct {
	*claims
	peerClients *peerClients
	member      balsampier.Member
	stop        context.CancelFunc
}

// nodes holds the agents of one service and the replicated state of control.
type nodes struct {
	c     *qt.C
	key   peer.Key
	list  []*node
	state *apply.State
}

func newNodes(c *qt.C, n int) *nodes {
	s := &nodes{c: c, key: peer.NewKey([]byte("a key of sixteen")), state: new(apply.State)}
	for i := range n {
		s.list = append(s.list, s.start(balsampier.InstanceID(i+1), 1))
	}
	return s
}

func (s *nodes) start(id balsampier.InstanceID, n balsampier.Incarnation) *node {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	s.c.Assert(err, qt.IsNil)
	m := balsampier.Member{
		ID: id, Incarnation: n, Role: balsampier.RoleAgent, Service: "reservas",
		PeerAddr: l.Addr().(*net.TCPAddr).AddrPort(),
	}
	var t Settings
	t.SetDefaults()
	x, stop := context.WithCancel(context.Background())
	v := &node{member: m, stop: stop, claims: newClaims(m.Holder(), t.claims(), t.answers(), clock.System{}, 1000, func() {})}
	v.peerClients = newPeerClients(s.key, s.findPeerAddr)
	p := peer.NewServer(l)
	s.c.Assert(p.AddClaims(s.key, v.claims), qt.IsNil)
	go func() { _ = p.Start(x) }()
	go func() { _ = v.run(x) }()
	go func() { _ = v.runCalls(v.peerClients)(x) }()
	s.c.Cleanup(stop)
	return v
}

func (s *nodes) findPeerAddr(h balsampier.Holder) (netip.AddrPort, bool) {
	m, ok := s.state.View.Find(h.Instance)
	return m.PeerAddr, ok && m.Holder() == h
}

// activate publishes the nodes as the view and renews their leases until every
// node has copied its claims and the group is active.
func (s *nodes) activate(left ...balsampier.InstanceID) {
	ch := apply.MembershipChange{Left: left}
	for _, n := range s.list {
		ch.Joined = append(ch.Joined, n.member)
	}
	s.state.ChangeMembers(ch)
	for range 200 {
		done := 0
		for _, n := range s.list {
			a := s.state.Claims[n.member.Service]
			l := balsampier.Lease{TTL: time.Minute, Epoch: s.state.View.Epoch, Active: s.state.View.Epoch, Claims: a.State(s.state.View.Epoch)}
			_, err := n.onLease(context.Background(), time.Now(), l)
			s.c.Assert(err, qt.IsNil)
			e, _ := n.reportedEpochs()
			s.state.RecordCompletions([]apply.Completion{{Service: n.member.Service, Holder: n.self, Epoch: e}})
			if a.Base.Epoch == a.Group.Epoch {
				done++
			}
		}
		if done == len(s.list) {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	s.c.Fatal("the group never became active")
}

func (n *node) open(k balsampier.RequestKey) verdict {
	a := make(chan verdict, 1)
	n.post(openMessage{key: k, fingerprint: 1, deadline: time.Now().Add(10 * time.Second), reply: a})
	return <-a
}

func (n *node) begin(id runID) verdict {
	a := make(chan verdict, 1)
	n.post(waitMessage{id: id, begin: true, deadline: time.Now().Add(10 * time.Second), reply: a})
	return <-a
}

func (n *node) refuseRun(id runID) refuseResult {
	a := make(chan refuseResult, 1)
	n.post(refuseMessage{id: id, reply: a})
	return <-a
}

// TestOneOfManySendsRuns sends each of many keys to every agent at once.
// Exactly one agent may begin; the others must be told which one, and get its
// answer there.
func TestOneOfManySendsRuns(t *testing.T) {
	c := qt.New(t)
	s := newNodes(c, 3)
	s.activate()
	for range 20 {
		k := uuid.Must(uuid.NewV7())
		got := make(chan verdict, len(s.list))
		for _, n := range s.list {
			go func() {
				v := n.open(k)
				if v.kind == verdictGranted {
					v = n.begin(v.id)
					n.post(finishMessage{id: v.id, answer: &answer.Answer{Status: 200, Body: k[:]}})
				}
				got <- v
			}()
		}
		begun := 0
		for range s.list {
			switch v := <-got; v.kind {
			case verdictBegun:
				begun++
			case verdictHeld:
				l, err := s.list[0].peerClients.client(v.other)
				c.Assert(err, qt.IsNil)
				r, err := l.Outcome(context.Background(), v.other, k, 1)
				c.Assert(err, qt.IsNil)
				c.Assert(r.State, qt.Equals, answer.StateAnswered)
				c.Assert(r.Answer.Body, qt.DeepEquals, k[:])
				r, err = l.Outcome(context.Background(), v.other, k, 2)
				c.Assert(err, qt.IsNil)
				c.Assert(r.State, qt.Equals, answer.StateKeyReused)
			default:
				c.Fatalf("verdict %+v", v)
			}
		}
		c.Assert(begun, qt.Equals, 1)
	}
}

// TestResendAfterARefusalOrADeath starts requests at the first agent, lets it
// refuse them or stops it, and sends them again to the others.
func TestResendAfterARefusalOrADeath(t *testing.T) {
	tests := []struct {
		name   string
		begin  bool
		refuse bool
		stop   bool
		want   verdictKind
	}{
		{"refused", false, true, false, verdictGranted},
		{"claimed", false, false, false, verdictHeld},
		{"begunAndDied", true, false, true, verdictHeld},
		{"claimedAndDied", false, false, true, verdictHeld},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			s := newNodes(c, 4)
			s.activate()
			first := s.list[0]
			var ks []balsampier.RequestKey
			for range 20 {
				k := uuid.Must(uuid.NewV7())
				v := first.open(k)
				c.Assert(v.kind, qt.Equals, verdictGranted)
				if tt.begin {
					c.Assert(first.begin(v.id).kind, qt.Equals, verdictBegun)
				}
				if tt.refuse {
					c.Assert(first.refuseRun(v.id).kind, qt.Equals, balsampier.KindNotRun)
				}
				ks = append(ks, k)
			}
			if tt.stop {
				first.stop()
				s.list = s.list[1:]
				s.activate(first.member.ID)
			}
			last := s.list[len(s.list)-1]
			for _, k := range ks {
				v := s.openUntil(last, k, tt.want)
				c.Assert(v.kind, qt.Equals, tt.want)
				if tt.want == verdictHeld {
					c.Assert(v.other, qt.Equals, first.self)
					c.Assert(last.refuseRun(v.id).kind, qt.Equals, balsampier.KindUnknown)
				}
			}
		})
	}
}

// openUntil retries until releases in flight have arrived.
func (s *nodes) openUntil(n *node, k balsampier.RequestKey, want verdictKind) verdict {
	for range 100 {
		v := n.open(k)
		if v.kind == want {
			return v
		}
		n.refuseRun(v.id)
		time.Sleep(10 * time.Millisecond)
	}
	return verdict{}
}

// TestNoBeginWithoutLease checks that an agent that was granted a claim cannot
// begin the request after it gave up its lease.
func TestNoBeginWithoutLease(t *testing.T) {
	c := qt.New(t)
	s := newNodes(c, 2)
	s.activate()
	v := s.list[0].open(uuid.Must(uuid.NewV7()))
	c.Assert(v.kind, qt.Equals, verdictGranted)
	s.list[0].leave()
	a := make(chan verdict, 1)
	s.list[0].post(waitMessage{id: v.id, begin: true, deadline: time.Now().Add(50 * time.Millisecond), reply: a})
	c.Assert((<-a).kind, qt.Equals, verdictEnd)
	c.Assert(s.list[0].refuseRun(v.id).kind, qt.Equals, balsampier.KindNotRun)
	_, err := s.list[1].Claim(context.Background(), s.list[0].self, claim.Claim{})
	c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindUnavailable)
}
