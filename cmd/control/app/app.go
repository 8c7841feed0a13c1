// Package app joins the threads of a control instance.
package app

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/apply"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/disk"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/ring"
	"github.com/balsampier/balsampier/settings"
)

const (
	batchSize    = 64
	drainTimeout = 5 * time.Second
	logName      = "log"
)

type (
	// Control holds the threads and what joins them.
	Control struct {
		s     Settings
		log   *log.Logger
		clock balsampier.Clock
		disk  *disk.Log

		// commands, records and committed join the threads in this order.
		commands  *ring.Ring[command]
		records   *ring.Ring[record]
		committed *ring.Ring[record]

		// leases is owned by the command thread.
		leases *lease.Table
		// state is owned by the apply thread.
		state     apply.State
		published atomic.Pointer[published]
	}

	// published is an immutable state for queries.
	published struct {
		rules balsampier.RuleFile
		view  balsampier.View
		// changed is closed when a newer state is published.
		changed chan struct{}
	}

	// record is one log entry on its way.
	record struct {
		b          []byte
		submission *balsampier.Submission
		membership *apply.MembershipChange
		// answer takes the answer to a submission; it has room for it.
		answer chan balsampier.SubmissionAnswer
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
	t, err := New(s, clock.System{})
	if err != nil {
		return err
	}
	ps := peer.NewServer(p)
	if err := ps.AddControl(peer.NewKey(key), t); err != nil {
		return err
	}
	os := operator.NewServer(o, opKey, t.Dump, t.Ready)
	os.AddRules(t, t)
	return process.Run(process.Program{
		Name: "control", Servers: append(t.Threads(), ps, os), DrainTimeout: drainTimeout, Logger: t.log,
	})
}

// New opens the data folder and restores the state.
func New(s Settings, k balsampier.Clock) (*Control, error) {
	t := &Control{
		s: s, clock: k, log: process.NewLogger("control", s.Name, s.Level()),
		commands:  ring.New[command]("commands", s.RingDepth, ring.Reject),
		records:   ring.New[record]("records", s.RingDepth, ring.Block),
		committed: ring.New[record]("committed", s.RingDepth, ring.Block),
	}
	ring.Register(t.commands)
	ring.Register(t.records)
	ring.Register(t.committed)
	d, rs, err := disk.Open(s.DataFolder, logName)
	if err != nil {
		return nil, err
	}
	t.disk = d
	for _, b := range rs {
		r := record{b: b}
		if r.submission, r.membership, err = peer.DecodeEntry(b); err != nil {
			return nil, err
		}
		t.apply(r)
	}
	t.published.Store(&published{changed: make(chan struct{})})
	t.publish()
	t.leases = lease.New(t.state.View, s.LeaseTerm, k.Now())
	t.log.Info().Int("records", len(rs)).Uint64("revision", uint64(t.state.Rules.Revision)).Msg("restored")
	return t, nil
}

// Threads returns the threads of the instance.
func (t *Control) Threads() []transport.Server {
	return []transport.Server{
		duty.New("take commands", t.takeCommands),
		duty.New("append to disk", t.appendRecords),
		duty.New("apply", t.applyCommitted),
	}
}

// Ready returns an error while members must not come.
func (t *Control) Ready() error { return nil }

func (t *Control) appendRecords(c context.Context) error {
	var rs [batchSize]record
	bs := make([][]byte, 0, batchSize)
	for {
		n, err := t.records.Pop(c, rs[:])
		if err != nil {
			return err
		}
		bs = bs[:0]
		for _, r := range rs[:n] {
			bs = append(bs, r.b)
		}
		if err := t.disk.Append(bs...); err != nil {
			return err
		}
		if err := t.disk.Sync(); err != nil {
			return err
		}
		for _, r := range rs[:n] {
			if err := t.committed.Push(c, r); err != nil {
				return err
			}
		}
	}
}

func (t *Control) applyCommitted(c context.Context) error {
	var rs [batchSize]record
	for {
		n, err := t.committed.Pop(c, rs[:])
		if err != nil {
			return err
		}
		for _, r := range rs[:n] {
			t.apply(r)
		}
		t.publish()
	}
}

// apply folds one record into the state and answers its submission.
func (t *Control) apply(r record) {
	if r.membership != nil {
		t.state.ChangeMembers(*r.membership)
		return
	}
	a := t.state.Submit(*r.submission)
	if r.answer != nil {
		r.answer <- a
	}
}

func (t *Control) publish() {
	old := t.published.Load()
	t.published.Store(&published{rules: t.state.Rules, view: t.state.View, changed: make(chan struct{})})
	close(old.changed)
}
