// Package app runs a control instance: its threads and the rings between them.
package app

import (
	"context"
	"net/netip"
	"slices"
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
	batchSize       = 256
	drainTimeout    = 5 * time.Second
	maxEarlierRules = 8

	// documentSnapshotThreshold and documentRetainedEntries are numbers of log
	// entries. Entries hold documents of up to about 100 KB; the limits keep
	// the log well below a disk of 64 MB.
	documentSnapshotThreshold = 64
	documentRetainedEntries   = 32
)

type (
	// Control is a control instance with a data folder. It holds the threads
	// and the state that they share.
	Control struct {
		instanceSettings Settings
		log              *log.Logger
		clock            balsampier.Clock
		self             balsampier.InstanceID

		// inputs is read by the replicate thread, which writes to work, read by
		// the save thread, and to committed, read by the apply thread.
		inputs    *ring.Ring[input]
		work      *ring.Ring[saveBatch]
		committed *ring.Ring[applyInput]
		// commands is read by the lease thread, which writes to digests, read
		// by the thread that sends them to the leader.
		commands *ring.Ring[leaseCommand]
		digests  *ring.Ring[lease.Digest]
		links    *links

		random balsampier.Random
		// config is owned by the replicate thread.
		config replicate.Config
		// seeds are the instances of the newest settings; never nil.
		seeds atomic.Pointer[[]balsampier.InstanceID]
		// openFolder opens the data folder; tests replace it.
		openFolder func(string, balsampier.Random) (balsampier.LogStore, balsampier.StoredLog, error)
		// generation counts the openings of the data folder; it is owned by the
		// save thread.
		generation    uint64
		replica       replica
		leases        leaseState
		state         state
		status        atomic.Pointer[replicate.Status]
		confirmations *confirmations
		// confirmNow holds a token if a confirmation is requested at once.
		confirmNow chan struct{}
		// activeEpoch is the newest active epoch known to this instance.
		activeEpoch atomic.Uint64
		// history is written by the apply thread and guarded by historyMu.
		history   *members.History
		historyMu sync.RWMutex
		published atomic.Pointer[publishedState]
	}

	// publishedState is an immutable copy of the applied state for queries.
	publishedState struct {
		rules balsampier.RuleFile
		// earlier holds up to maxEarlierRules rule files that preceded rules,
		// oldest first.
		earlier []balsampier.RuleFile
		view    balsampier.View
		// claims corresponds to view and is never modified.
		claims map[balsampier.ServiceName]claim.Activation
		// applied is the index of the last applied entry.
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

// New returns a control instance. Its threads, once started, open the data
// folder.
func New(s Settings, k balsampier.Clock, r balsampier.Random, key peer.Key) (*Control, error) {
	self := balsampier.NewInstanceID(s.Name)
	if s.Documents {
		self = balsampier.NewAddrInstanceID(s.PeerAddr)
	}
	t := &Control{
		instanceSettings: s, clock: k, random: r, self: self, openFolder: openFolder,
		log:           process.NewLogger("control", s.Name, s.Level()),
		inputs:        ring.New[input]("inputs", s.RingDepth, ring.Reject),
		work:          ring.New[saveBatch]("work", 1, ring.Block),
		committed:     ring.New[applyInput]("committed", s.RingDepth, ring.Block),
		commands:      ring.New[leaseCommand]("commands", s.RingDepth, ring.Reject),
		digests:       ring.New[lease.Digest]("digests", 1, ring.Block),
		links:         newLinks(key, self, s.Documents),
		replica:       newReplica(),
		leases:        newLeaseState(),
		state:         state{machine: new(apply.State)},
		history:       members.NewHistory(balsampier.View{}),
		confirmations: newConfirmations(), confirmNow: make(chan struct{}, 1),
	}
	t.published.Store(&publishedState{changed: make(chan struct{})})
	t.status.Store(t.closedStatus())
	t.config = t.replicateConfig()
	seeds := slices.Clone(t.config.Peers)
	t.seeds.Store(&seeds)
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
	g := replicate.Config{Instance: t.self, ElectionTimeout: t.instanceSettings.ElectionTimeout, Random: t.random}
	if t.instanceSettings.Documents {
		g.OpenMembership, g.JoinOnly, g.MinVoters = true, t.instanceSettings.Joining, 2*t.instanceSettings.Tolerance+1
		if t.instanceSettings.Tolerance > 0 {
			g.BootstrapQuorum = 2*t.instanceSettings.Tolerance + 1
		}
		g.SnapshotThreshold, g.RetainedEntries = documentSnapshotThreshold, documentRetainedEntries
		g.Peers = t.seedIDs(t.instanceSettings.Seeds)
	}
	for _, v := range t.instanceSettings.Instances {
		id := balsampier.NewInstanceID(v.Name)
		g.Peers = append(g.Peers, id)
		if id != t.self {
			t.links.addConfigured(id, v.Name, v.PeerAddr)
		}
	}
	return g
}

// seedIDs returns the IDs of the instances at the hosts of the seeds. The port
// is that of the own peer address, which all instances share.
func (t *Control) seedIDs(as []netip.AddrPort) []balsampier.InstanceID {
	out := make([]balsampier.InstanceID, 0, len(as))
	for _, a := range settings.WithPort(as, t.instanceSettings.PeerAddr.Port()) {
		out = append(out, balsampier.NewAddrInstanceID(a))
	}
	return out
}

// Threads returns the threads of the instance, not yet started.
func (t *Control) Threads() []transport.Server {
	ts := []transport.Server{
		duty.New("replicate", t.replicate),
		duty.New("save to disk", t.save),
		duty.New("apply", t.apply),
		duty.New("maintain leases", t.maintainLeases),
		duty.New("send digests", t.sendDigests),
		duty.New("confirm", t.refreshConfirmation),
		duty.New("serve links", t.serveLinks),
	}
	if t.instanceSettings.Documents {
		ts = append(ts, duty.New("announce", t.renewOwnLease), duty.New("announce to relays", t.announceToRelays))
	}
	return ts
}

// Ready returns an error until the instance knows a leader.
func (t *Control) Ready() error {
	if s := t.status.Load(); s.Leader.IsZero() {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness",
			"wait until a majority of the control instances runs", nil)
	}
	return nil
}

// Drain transfers the leadership to another instance and waits until this one
// is no longer the leader.
func (t *Control) Drain(c context.Context) error {
	if t.status.Load().Role != replicate.RoleLeader {
		return nil
	}
	if err := t.inputs.Push(c, input{kind: inputTransfer}); err != nil {
		return err
	}
	for t.status.Load().Role == replicate.RoleLeader {
		k := t.clock.NewTimer(tickInterval)
		select {
		case <-k.C():
		case <-c.Done():
			return c.Err()
		}
	}
	return nil
}
