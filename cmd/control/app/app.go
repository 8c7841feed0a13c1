// Package app joins the threads of a control instance.
package app

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/claim"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/disk"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/ring"
	"github.com/balsampier/balsampier/settings"
)

const (
	batchSize    = 256
	drainTimeout = 5 * time.Second
	peerDepth    = 512
	maxEarlier   = 8
)

type (
	// Control holds the threads and what joins them.
	Control struct {
		s     Settings
		log   *log.Logger
		clock balsampier.Clock
		self  balsampier.InstanceID

		// inputs lead to the replicate thread, work from it to the save
		// thread, committed from it to the apply thread.
		inputs    *ring.Ring[input]
		work      *ring.Ring[balsampier.LogWork]
		committed *ring.Ring[committed]
		// commands lead to the lease thread, digests from it to the thread
		// that passes them to the leader.
		commands *ring.Ring[command]
		digests  *ring.Ring[lease.Digest]
		// peers has an entry for every other control instance.
		peers map[balsampier.InstanceID]*peerLink

		store   balsampier.LogStore
		replica replica
		leases  membership
		state   state
		status  atomic.Pointer[replicate.Status]
		// confirmedAt is when the newest confirmation by a quorum was asked
		// for; nil before the first.
		confirmedAt atomic.Pointer[time.Time]
		// active is the newest active epoch that is known.
		active atomic.Uint64
		// history is written by the apply thread.
		history   *members.History
		historyMu sync.RWMutex
		published atomic.Pointer[published]
	}

	// peerLink leads to one other control instance.
	peerLink struct {
		name   string
		caller *peer.Caller
		out    *ring.Ring[replicate.Message]
	}

	// published is an immutable state for queries.
	published struct {
		rules balsampier.RuleFile
		// earlier holds at most maxEarlier rule files before rules.
		earlier []balsampier.RuleFile
		view    balsampier.View
		// claims belongs to view and is never changed.
		claims map[balsampier.ServiceName]claim.Activation
		// applied is the index of the last entry in the state.
		applied balsampier.Index
		// changed is closed when a newer state is published.
		changed chan struct{}
	}
)

// Run runs a control instance until it is stopped.
func Run(s Settings) error {
	key, err := settings.ReadKey(s.PeerKeyFile)
	if err != nil {
		return err
	}
	opKey, err := settings.ReadKey(s.OperatorKeyFile)
	if err != nil {
		return err
	}
	o, err := process.Listen("operatorAddress", s.OperatorAddr)
	if err != nil {
		return err
	}
	p, err := process.Listen("peerAddress", s.PeerAddr)
	if err != nil {
		return err
	}
	t, err := New(s, clock.System{}, random.System{}, peer.NewKey(key))
	if err != nil {
		return err
	}
	ps := peer.NewServer(p)
	if err := ps.AddControl(peer.NewKey(key), t); err != nil {
		return err
	}
	if err := ps.AddReplica(peer.NewKey(key), t); err != nil {
		return err
	}
	os := operator.NewServer(o, opKey, t.Dump, t.Ready)
	os.AddRules(t, t)
	os.AddLogLevel(t.log)
	return process.Run(process.Program{
		Name: "control", Servers: append(t.Threads(), ps, os), Drain: t.Drain, DrainTimeout: drainTimeout, Logger: t.log,
	})
}

// New opens the data folder and restores what lasts in it.
func New(s Settings, k balsampier.Clock, r balsampier.Random, key peer.Key) (*Control, error) {
	t := &Control{
		s: s, clock: k, self: balsampier.NewInstanceID(s.Name),
		log:       process.NewLogger("control", s.Name, s.Level()),
		inputs:    ring.New[input]("inputs", s.RingDepth, ring.Reject),
		work:      ring.New[balsampier.LogWork]("work", 1, ring.Block),
		committed: ring.New[committed]("committed", s.RingDepth, ring.Block),
		commands:  ring.New[command]("commands", s.RingDepth, ring.Reject),
		digests:   ring.New[lease.Digest]("digests", 1, ring.Block),
		peers:     make(map[balsampier.InstanceID]*peerLink),
		leases:    newMembership(),
		state:     state{s: new(apply.State)},
		history:   members.NewHistory(balsampier.View{}),
	}
	t.published.Store(&published{changed: make(chan struct{})})
	g := replicate.Config{Instance: t.self, Election: s.ElectionTimeout, Random: r}
	for _, v := range s.Instances {
		id := balsampier.NewInstanceID(v.Name)
		g.Peers = append(g.Peers, id)
		if id != t.self {
			t.peers[id] = &peerLink{
				name: v.Name, caller: peer.NewCaller(key, v.PeerAddr),
				out: ring.New[replicate.Message]("to "+v.Name, peerDepth, ring.DropNewest),
			}
			ring.Register(t.peers[id].out)
		}
	}
	store, stored, err := disk.OpenStore(s.DataFolder, r)
	if err != nil {
		return nil, err
	}
	t.store = store
	n, err := replicate.New(g, stored, k.Now())
	if err != nil {
		return nil, err
	}
	t.replica = newReplica(n)
	st := n.Status()
	t.status.Store(&st)
	t.registerMetrics()
	ring.Register(t.inputs)
	ring.Register(t.work)
	ring.Register(t.committed)
	ring.Register(t.commands)
	ring.Register(t.digests)
	t.log.Info().Uint64("snapshot", uint64(st.Snapshot)).Uint64("last", uint64(st.Last)).Msg("restored")
	return t, nil
}

// Threads returns the threads of the instance.
func (t *Control) Threads() []transport.Server {
	ts := []transport.Server{
		duty.New("replicate", t.replicate),
		duty.New("save to disk", t.save),
		duty.New("apply", t.apply),
		duty.New("keep leases", t.keepLeases),
		duty.New("pass digests", t.passDigests),
		duty.New("confirm", t.keepConfirmed),
	}
	for _, p := range t.peers {
		ts = append(ts, duty.New("send to "+p.name, t.sendTo(p)))
	}
	return ts
}

// Ready returns an error until the instance follows a leader.
func (t *Control) Ready() error {
	if s := t.status.Load(); s.Leader.IsZero() {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness",
			"wait until a majority of the control instances runs", nil)
	}
	return nil
}

// Drain hands the leadership over.
func (t *Control) Drain(c context.Context) error {
	if t.status.Load().Role != replicate.RoleLeader {
		return nil
	}
	if err := t.inputs.Push(c, input{kind: inputTransfer}); err != nil {
		return err
	}
	for t.status.Load().Role == replicate.RoleLeader {
		k := t.clock.NewTimer(tickPeriod)
		select {
		case <-k.C():
		case <-c.Done():
			return c.Err()
		}
	}
	return nil
}
