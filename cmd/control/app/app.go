// Package app joins the threads of a control instance.
package app

import (
	"context"
	"net/netip"
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
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/platform"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/query/members"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/ring"
	"github.com/balsampier/balsampier/settings"
)

const (
	batchSize    = 256
	drainTimeout = 5 * time.Second
	maxEarlier   = 8

	// documentSnapshotEvery and documentKeepEntries bound the log of numbered
	// documents, each of up to some 100 KB, well below a disk of 64 MB.
	documentSnapshotEvery = 64
	documentKeepEntries   = 32
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
		work      *ring.Ring[batch]
		committed *ring.Ring[committed]
		// commands lead to the lease thread, digests from it to the thread
		// that passes them to the leader.
		commands *ring.Ring[command]
		digests  *ring.Ring[lease.Digest]
		links    *links

		random balsampier.Random
		// config belongs to the replicate thread.
		config replicate.Config
		// openFolder opens the data folder.
		openFolder func(string, balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error)
		// opening counts openings of the disk; it belongs to the save thread.
		opening uint64
		replica replica
		leases  membership
		state   state
		status  atomic.Pointer[replicate.Status]
		confirm *confirmations
		// unconfirmed holds a token when a confirmation is wanted at once.
		unconfirmed chan struct{}
		// active is the newest active epoch that is known.
		active atomic.Uint64
		// history is written by the apply thread.
		history   *members.History
		historyMu sync.RWMutex
		published atomic.Pointer[published]
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
	ps := peer.NewServer(p)
	if s.Documents && s.DataFolder == "" {
		return runRelay(s, peer.NewKey(key), opKey, o, ps)
	}
	t, err := New(s, clock.System{}, random.System{}, peer.NewKey(key))
	if err != nil {
		return err
	}
	if err := ps.AddControl(peer.NewKey(key), t); err != nil {
		return err
	}
	if err := ps.AddReplica(peer.NewKey(key), t); err != nil {
		return err
	}
	os := operator.NewServer(o, opKey, t.Dump, t.Ready)
	if s.Documents {
		platform.DocumentHandler{Commands: t, Queries: t}.Register(os)
	} else {
		os.AddRules(t, t)
	}
	os.AddLogLevel(t.log)
	return process.Run(process.Program{
		Name: "control", Servers: append(t.Threads(), ps, os, process.NewReloader(s.Path(), t.clock, t.log, t.Reload)), Drain: t.Drain, DrainTimeout: drainTimeout, Logger: t.log,
	})
}

// New returns an instance whose threads open the data folder.
func New(s Settings, k balsampier.Clock, r balsampier.Random, key peer.Key) (*Control, error) {
	self := balsampier.NewInstanceID(s.Name)
	if s.Documents {
		self = balsampier.NewAddrInstanceID(s.PeerAddr)
	}
	t := &Control{
		s: s, clock: k, random: r, self: self, openFolder: openFolder,
		log:       process.NewLogger("control", s.Name, s.Level()),
		inputs:    ring.New[input]("inputs", s.RingDepth, ring.Reject),
		work:      ring.New[batch]("work", 1, ring.Block),
		committed: ring.New[committed]("committed", s.RingDepth, ring.Block),
		commands:  ring.New[command]("commands", s.RingDepth, ring.Reject),
		digests:   ring.New[lease.Digest]("digests", 1, ring.Block),
		links:     newLinks(key, self, s.Documents),
		replica:   newReplica(),
		leases:    newMembership(),
		state:     state{s: new(apply.State)},
		history:   members.NewHistory(balsampier.View{}),
		confirm:   newConfirmations(), unconfirmed: make(chan struct{}, 1),
	}
	t.published.Store(&published{changed: make(chan struct{})})
	t.status.Store(t.closedStatus())
	t.config = t.replicateConfig()
	if err := t.config.Check(); err != nil {
		return nil, err
	}
	t.registerMetrics()
	ring.Register(t.inputs)
	ring.Register(t.work)
	ring.Register(t.committed)
	ring.Register(t.commands)
	ring.Register(t.digests)
	return t, nil
}

func (t *Control) replicateConfig() replicate.Config {
	g := replicate.Config{Instance: t.self, ElectionTimeout: t.s.ElectionTimeout, Random: t.random}
	if t.s.Documents {
		g.OpenMembership, g.JoinOnly, g.MinVoters = true, t.s.Joining, 2*t.s.Tolerance+1
		g.SnapshotThreshold, g.RetainedEntries = documentSnapshotEvery, documentKeepEntries
		g.Peers = t.seedIDs(t.s.Seeds)
	}
	for _, v := range t.s.Instances {
		id := balsampier.NewInstanceID(v.Name)
		g.Peers = append(g.Peers, id)
		if id != t.self {
			t.links.configure(id, v.Name, v.PeerAddr)
		}
	}
	return g
}

// seedIDs returns the IDs of instances at the hosts of the seeds: all
// instances use one peer port.
func (t *Control) seedIDs(as []netip.AddrPort) []balsampier.InstanceID {
	out := make([]balsampier.InstanceID, 0, len(as))
	for _, a := range settings.WithPort(as, t.s.PeerAddr.Port()) {
		out = append(out, balsampier.NewAddrInstanceID(a))
	}
	return out
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
		duty.New("serve links", t.serveLinks),
	}
	if t.s.Documents {
		ts = append(ts, duty.New("announce", t.announce))
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
