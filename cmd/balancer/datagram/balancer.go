// Package datagram joins the threads of a balancer whose clients' packets
// carry no hint of the agent that has their flow.
package datagram

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
	"github.com/balsampier/balsampier/command/direct"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/platform"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/ring"
	"github.com/balsampier/balsampier/settings"
)

const (
	batchSize = 64
	ringDepth = 4096

	// drainTimeout is how long a stopping balancer forwards: the routers ask
	// twice a second and turn away after two misses.
	drainTimeout = 2500 * time.Millisecond
	// idleWait is how long the thread that directs packets sleeps at most.
	idleWait = 2 * time.Second
)

type (
	// Settings are the settings of the datagram front end.
	Settings struct {
		// ClientAddr is where the routers deliver packets; clients are sent
		// packets at the same port.
		ClientAddr netip.AddrPort `yaml:"clientAddress"`
		// Seeds are addresses of control instances; their peer port is
		// ControlPort.
		Seeds       []netip.AddrPort `yaml:"seeds"`
		ControlPort uint16           `yaml:"controlPort"`
	}

	// Options are what a balancer is made of.
	Options struct {
		Settings
		settings.Common
		// PeerAddr takes the answers of agents, over UDP.
		PeerAddr netip.AddrPort
		Key      []byte
		Clock    balsampier.Clock
		Random   balsampier.Random
		Codec    balsampier.SegmentCodec
		Parser   balsampier.DocumentParser
	}

	// Balancer holds the threads and what joins them.
	Balancer struct {
		o       Options
		log     *log.Logger
		limit   *process.LogLimiter
		sealer  *peer.Sealer
		seeds   *control.Seeds
		session *control.Session
		member  balsampier.Member
		// draining is set once, by the graceful stop.
		draining atomic.Bool
		clients  *fabric.Socket
		agents   *fabric.Socket

		// inputs lead to the thread that directs, outputs from it to the one
		// that sends.
		inputs  *ring.Ring[input]
		outputs *ring.Ring[output]
		// director belongs to the thread that directs.
		director *direct.Director
		flows    atomic.Int64
		counters counters
	}

	// input is one message to the thread that directs; one of the fields is
	// set.
	input struct {
		// packet comes from a client, answer from an agent.
		packet, answer fabric.Datagram
		state          *control.State
	}

	// output is one datagram.
	output struct {
		to       netip.AddrPort
		toClient bool
		b        []byte
		buf      *buffer
	}

	// buffer has room for any relay.
	buffer [peer.MaxEnvelopeBytes]byte
)

// buffers are given back by the thread that sends.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// Run runs a balancer until it is stopped.
func Run(s Settings, m settings.Common, peerAddr netip.AddrPort, reloader func(*Balancer) transport.Server) error {
	key, err := settings.ReadKey(m.PeerKeyFile)
	if err != nil {
		return err
	}
	opKey, err := settings.ReadKey(m.OperatorKeyFile)
	if err != nil {
		return err
	}
	b, err := New(Options{
		Settings: s, Common: m, PeerAddr: peerAddr, Key: key, Clock: clock.System{}, Random: random.System{},
		Codec: platform.Codec{}, Parser: platform.Parser{},
	})
	if err != nil {
		return err
	}
	l, err := process.Listen("operatorAddress", m.OperatorAddr)
	if err != nil {
		return err
	}
	os := operator.NewServer(l, opKey, b.Dump, b.Ready).AddLogLevel(b.log)
	platform.RegisterReady(os, b.Ready)
	return process.Run(process.Program{
		Name: "balancer", Servers: append(b.Threads(), os, reloader(b)), Drain: b.Drain, DrainTimeout: drainTimeout + time.Second,
		Logger: b.log,
	})
}

// New binds the sockets of a balancer.
func New(o Options) (*Balancer, error) {
	b := &Balancer{
		o: o, log: process.NewLogger("balancer", o.Name, o.Level()), limit: process.NewLogLimiter(o.Clock),
		sealer: peer.NewSealer(o.Key), seeds: control.NewSeeds(o.Seeds, o.ControlPort),
		inputs:   ring.New[input]("inputs", ringDepth, ring.DropNewest),
		outputs:  ring.New[output]("outputs", ringDepth, ring.DropNewest),
		director: direct.New(o.DataCentre), counters: newCounters(),
		member: balsampier.Member{
			ID: balsampier.NewInstanceID(o.Name), Name: o.Name, Role: balsampier.RoleBalancer,
			Incarnation: balsampier.NewIncarnation(o.Clock.Now()), DataCentre: o.DataCentre, Addr: o.PeerAddr,
		},
	}
	ring.Register(b.inputs)
	ring.Register(b.outputs)
	var err error
	if b.clients, err = fabric.Listen(o.ClientAddr, o.ClientAddr, o.Clock); err != nil {
		return nil, err
	}
	if b.agents, err = fabric.Listen(o.PeerAddr, o.PeerAddr, o.Clock); err != nil {
		return nil, err
	}
	b.session, err = control.NewDocumentSession(control.Options{
		Clock: o.Clock, Random: o.Random, Logger: b.log, Member: b.Member, Parser: o.Parser, OnState: b.changed,
	}, peer.NewKey(o.Key), b.seeds)
	if err != nil {
		return nil, err
	}
	b.session.ExportMetrics()
	return b, nil
}

// Check adds a fault for everything that is wrong.
func (s *Settings) Check(f *settings.Faults) {
	f.Addr("datagram.clientAddress", s.ClientAddr)
	f.Positive("datagram.controlPort", int(s.ControlPort))
	if len(s.Seeds) == 0 {
		f.Add("datagram.seeds", "", "list the address of at least one control instance")
	}
}

// Logger returns the log of the balancer.
func (b *Balancer) Logger() *log.Logger { return b.log }

// Threads returns the threads of the balancer.
func (b *Balancer) Threads() []transport.Server {
	return append([]transport.Server{
		duty.New("receive packets", func(c context.Context) error {
			return b.clients.Receive(c, func(d fabric.Datagram) error { return b.inputs.Push(c, input{packet: d}) })
		}),
		duty.New("receive answers", func(c context.Context) error {
			return b.agents.Receive(c, func(d fabric.Datagram) error { return b.inputs.Push(c, input{answer: d}) })
		}),
		duty.New("direct packets", b.direct),
		duty.New("send", b.send),
	}, b.session.Threads()...)
}

// Member returns the own member.
func (b *Balancer) Member() (balsampier.Member, bool) {
	m := b.member
	m.Draining = b.draining.Load()
	return m, true
}

// Ready returns an error until routes and membership were received, and while
// the balancer stops.
func (b *Balancer) Ready() error {
	if b.draining.Load() {
		return balsampier.NewError(balsampier.KindClosed, "check readiness", "use another balancer; this one is stopping", nil)
	}
	if !b.session.Ready() {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "wait until a control instance is reached", nil)
	}
	return nil
}

// Drain tells the routers to turn away, while packets are still forwarded.
func (b *Balancer) Drain(c context.Context) error {
	b.draining.Store(true)
	b.log.Info().Int64("flows", b.flows.Load()).Msg("stopping")
	t := b.o.Clock.NewTimer(drainTimeout)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
	b.session.Leave(c)
	return nil
}

// Reload takes over the seeds.
func (b *Balancer) Reload(s Settings) { b.seeds.Set(s.Seeds) }

// changed hands a newer state to the thread that directs.
func (b *Balancer) changed(s control.State) {
	if err := b.inputs.PushWith(context.Background(), input{state: &s}, ring.Block); err != nil {
		b.log.Warn().Err(err).Msg("state not adopted")
	}
}
