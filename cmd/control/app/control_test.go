package app

import (
	"context"
	"errors"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/ring"
)

var errRevisionConfirmed = errors.New("seen")

// waitForRevision watches n until it confirms revision r.
func (f *fleet) waitForRevision(n *instance, r balsampier.Revision) {
	f.c.Helper()
	x, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	err := n.watch(x, balsampier.WatchPosition{}, func(m balsampier.WatchMessage) error {
		if m.Confirmed && m.Revision == r {
			return errRevisionConfirmed
		}
		return nil
	})
	f.c.Assert(errors.Is(err, errRevisionConfirmed), qt.IsTrue, qt.Commentf("%v", err))
}

func TestSubmissionIsWatchedEverywhere(t *testing.T) {
	f := newFleet(qt.New(t))
	a := f.submit(newSubmission(0))
	f.c.Assert(a.Accepted, qt.IsTrue)
	for _, n := range f.instances {
		f.waitForRevision(n, a.Revision)
	}
}

func TestResendAfterLeaderStops(t *testing.T) {
	f := newFleet(qt.New(t))
	winner, loser := newSubmission(0), newSubmission(0)
	first, second := f.submit(winner), f.submit(loser)
	f.c.Assert(first.Accepted, qt.IsTrue)
	f.c.Assert(second.Accepted, qt.IsFalse)
	old := f.leader()
	old.kill()
	later := f.submit(newSubmission(first.Revision), old)
	f.c.Assert(later.Accepted, qt.IsTrue)
	f.c.Assert(f.submit(winner, old), qt.Equals, first)
	f.c.Assert(f.submit(loser, old), qt.Equals, second)
}

func TestCutOffInstance(t *testing.T) {
	f := newFleet(qt.New(t))
	a := f.submit(newSubmission(0))
	old := f.leader()
	f.waitForRevision(old, a.Revision)
	old.cut.Store(true)
	// A confirmation from before the cut is reported until it expires, but only
	// to streams that started before it was requested.
	var confirmed, received bool
	newest := make(chan balsampier.Revision, 1)
	x, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { newest <- f.submit(newSubmission(a.Revision), old).Revision; cancel() }()
	err := old.watch(x, balsampier.WatchPosition{}, func(m balsampier.WatchMessage) error {
		received = true
		confirmed = confirmed || m.Confirmed
		return nil
	})
	f.c.Assert(err, qt.IsNotNil)
	r := <-newest
	f.c.Assert(received, qt.IsTrue)
	f.c.Assert(confirmed, qt.IsFalse)
	f.eventually("the cut-off leader steps down", func() bool { return old.status.Load().Role != replicate.RoleLeader })
	_, err = old.Rules(x)
	f.c.Assert(err, qt.IsNotNil)
	old.cut.Store(false)
	f.waitForRevision(old, r)
}

// TestSubmissionAtCutOffLeader submits to a leader that is cut off. The
// submission must be lost or have one answer.
func TestSubmissionAtCutOffLeader(t *testing.T) {
	f := newFleet(qt.New(t))
	old := f.leader()
	old.cut.Store(true)
	unconfirmed := newSubmission(0)
	result := make(chan error, 1)
	go func() {
		_, _, err := old.Submit(context.Background(), unconfirmed)
		result <- err
	}()
	winner := f.submit(newSubmission(0), old)
	f.c.Assert(winner.Accepted, qt.IsTrue)
	old.cut.Store(false)
	f.c.Assert(<-result, qt.IsNotNil)
	f.c.Assert(f.submit(unconfirmed), qt.Equals, balsampier.SubmissionAnswer{ID: unconfirmed.ID, Revision: winner.Revision})
}

// TestStopWithPendingSubmission checks that a submission that waits for a quorum
// when its instance is stopped ends soon, and not with an answer: it may be
// accepted yet, unless it was not proposed.
func TestStopWithPendingSubmission(t *testing.T) {
	f := newFleet(qt.New(t))
	old := f.leader()
	old.cut.Store(true)
	result := make(chan error, 1)
	go func() {
		_, _, err := old.Submit(context.Background(), newSubmission(0))
		result <- err
	}()
	f.eventually("the submission waits for a quorum", func() bool {
		return old.status.Load().Last > old.status.Load().Commit
	})
	old.kill()
	select {
	case err := <-result:
		k := balsampier.KindOf(err)
		f.c.Assert(k == balsampier.KindUnknown || k == balsampier.KindNotLeader, qt.IsTrue, qt.Commentf("%v", err))
	case <-time.After(submitTimeout / 2):
		f.c.Fatal("the submission still waits")
	}
}

func newLeadingControl(c *qt.C) *Control {
	n, err := replicate.New(replicate.Config{
		Instance: 1, Peers: []balsampier.InstanceID{1}, Random: random.System{},
	}, balsampier.StoredLog{Disk: 1}, time.Unix(0, 0))
	c.Assert(err, qt.IsNil)
	t := &Control{inputs: ring.New[input]("inputs", 1, ring.Reject), replica: newReplica()}
	t.replica.node = n
	for i := range 100 {
		n.Tick(time.Unix(int64(i), 0))
		if w := n.DrainOutput().DiskBatch; w != nil {
			n.ConfirmSave(w.Seq)
		}
	}
	c.Assert(n.Status().Role, qt.Equals, replicate.RoleLeader)
	return t
}

func TestProposals(t *testing.T) {
	tests := []struct {
		name     string
		term     balsampier.Term
		hasOlder bool
		// refused is the error kind of the proposal, superseded that of an
		// older proposal at the same index.
		refused, superseded balsampier.Kind
	}{
		{name: "any term"},
		{name: "the same term", term: 1},
		{name: "valid in another term only", term: 9, refused: balsampier.KindNotLeader},
		{name: "same index in an earlier term", hasOlder: true, superseded: balsampier.KindNotLeader},
	}
	for _, x := range tests {
		t.Run(x.name, func(t *testing.T) {
			c := qt.New(t)
			k := newLeadingControl(c)
			s := k.replica.node.Status()
			old := make(chan outcome, 1)
			if x.hasOlder {
				k.replica.proposals[s.Last+1] = proposal{term: s.Term - 1, outcome: old}
			}
			term := x.term
			if term == 1 {
				term = s.Term
			}
			i := input{kind: inputProposal, term: term, data: []byte("x"), outcome: make(chan outcome, 1)}
			k.handleReplicaInput(i)
			c.Assert(outcomeKind(i.outcome), qt.Equals, x.refused)
			c.Assert(outcomeKind(old), qt.Equals, x.superseded)
		})
	}
}

// outcomeKind returns the error kind of the outcome, or zero if there is none.
func outcomeKind(c chan outcome) balsampier.Kind {
	select {
	case o := <-c:
		return balsampier.KindOf(o.err)
	default:
		return 0
	}
}
