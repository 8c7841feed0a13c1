// Package datagram is the datagram front end of the balancer. Its clients'
// packets carry no hint of the agent that holds their flow, so the balancer
// keeps that mapping itself.
package datagram

import (
	"context"
	"fmt"
	"math"
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

	// drainTimeout is how long a stopping balancer keeps forwarding. Routers
	// probe readiness twice a second and stop sending after two failed probes.
	drainTimeout = 2500 * time.Millisecond
	// maxPollInterval bounds how long the thread that directs packets sleeps.
	maxPollInterval = 2 * time.Second

	// Lookups are slow while more flows than maxLookups wait for a search or the
	// time-out for replies exceeds maxUsualReplyTimeout. slowLogDelay is how
	// long that must last to be logged.
	maxLookups           = 200
	maxUsualReplyTimeout = 150 * time.Millisecond
	slowLogDelay         = time.Second
	bytesPerMegabit      = 1e6 / 8
)

type (
	// Settings configure the datagram front end.
	Settings struct {
		// ClientAddr is where the routers deliver packets. Packets to clients
		// go to the same port.
		ClientAddr netip.AddrPort `yaml:"clientAddress"`
		// Seeds lists addresses of control instances. ControlPort is the peer
		// port of every control instance.
		Seeds       []netip.AddrPort `yaml:"seeds"`
		ControlPort uint16           `yaml:"controlPort"`
		// LinkMegabitsPerSecond is the rate of the machine's link; zero if it
		// is not limited.
		LinkMegabitsPerSecond float64 `yaml:"linkMegabitsPerSecond"`
	}

	// Options configure New.
	Options struct {
		Settings
		settings.Common
		// PeerAddr is the UDP address that receives replies from agents.
		PeerAddr netip.AddrPort
		Key      []byte
		Clock    balsampier.Clock
		Random   balsampier.Random
		Codec    balsampier.SegmentCodec
		Parser   balsampier.DocumentParser
	}

	// Balancer forwards clients' packets to the agents that hold their flows.
	Balancer struct {
		options  Options
		log      *log.Logger
		logLimit *process.LogLimiter
		sealer   *peer.Sealer
		seeds    *control.Seeds
		session  *control.Session
		member   balsampier.Member
		// draining is set once, when the graceful stop begins.
		draining     atomic.Bool
		clientSocket *fabric.Socket
		agentSocket  *fabric.Socket

		// inputs feeds the thread that directs packets, and outputs the thread
		// that sends.
		inputs  *ring.Ring[input]
		outputs *ring.Ring[output]
		// director is used by the thread that directs packets only.
		director *direct.Director
		flows    atomic.Int64
		// lookups is how many flows wait for a search, and replyTimeout the
		// time-out for replies of agents, in nanoseconds.
		lookups, replyTimeout atomic.Int64
		// slowSince is when lookups became slow; zero while they are not.
		// slowLogged is true once that was logged. Both belong to the thread
		// that directs packets.
		slowSince  time.Time
		slowLogged bool
		counters   counters
	}

	// input is one message to the thread that directs packets. Exactly one
	// field is set.
	input struct {
		// packet is from a client, reply from an agent.
		packet, reply fabric.Datagram
		state         *control.State
	}

	// output is one datagram to send, to a client or to an agent.
	output struct {
		to       netip.AddrPort
		toClient bool
		data     []byte
		buf      *buffer
	}

	// buffer holds a relay of the largest size.
	buffer [peer.MaxEnvelopeBytes]byte
)

// buffers is a pool. The thread that sends returns the buffer of each output.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// Run runs a balancer until it is stopped. reloader returns the server that
// reloads the settings of the balancer.
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

// New returns a balancer with its sockets bound.
func New(o Options) (*Balancer, error) {
	b := &Balancer{
		options: o, log: process.NewLogger("balancer", o.Name, o.Level()), logLimit: process.NewLogLimiter(o.Clock),
		sealer: peer.NewSealer(o.Key), seeds: control.NewSeeds(o.Seeds, o.ControlPort),
		inputs:   ring.New[input]("inputs", ringDepth, ring.DropNewest),
		outputs:  ring.New[output]("outputs", ringDepth, ring.DropNewest),
		director: direct.New(direct.Config{DataCentre: o.DataCentre, LinkBytesPerSecond: o.LinkMegabitsPerSecond * bytesPerMegabit}), counters: newCounters(),
		member: balsampier.Member{
			ID: balsampier.NewInstanceID(o.Name), Name: o.Name, Role: balsampier.RoleBalancer,
			Incarnation: balsampier.NewIncarnation(o.Clock.Now()), DataCentre: o.DataCentre, Addr: o.PeerAddr,
		},
	}
	ring.Register(b.inputs)
	ring.Register(b.outputs)
	var err error
	if b.clientSocket, err = fabric.Listen(o.ClientAddr, o.ClientAddr, o.Clock); err != nil {
		return nil, err
	}
	if b.agentSocket, err = fabric.Listen(o.PeerAddr, o.PeerAddr, o.Clock); err != nil {
		return nil, err
	}
	b.session, err = control.NewDocumentSession(control.Options{
		Clock: o.Clock, Random: o.Random, Logger: b.log, Member: b.Member, Parser: o.Parser, OnState: b.enqueueState,
	}, peer.NewKey(o.Key), b.seeds)
	if err != nil {
		return nil, err
	}
	b.session.ExportMetrics()
	b.exportMetrics()
	return b, nil
}

// Check adds a fault to f for each invalid setting.
func (s *Settings) Check(f *settings.Faults) {
	f.Addr("datagram.clientAddress", s.ClientAddr)
	f.Positive("datagram.controlPort", int(s.ControlPort))
	if s.LinkMegabitsPerSecond < 0 || math.IsNaN(s.LinkMegabitsPerSecond) {
		f.Add("datagram.linkMegabitsPerSecond", fmt.Sprint(s.LinkMegabitsPerSecond), "write the rate of the link, or 0 if it is not limited")
	}
	if len(s.Seeds) == 0 {
		f.Add("datagram.seeds", "", "list the address of at least one control instance")
	}
}

// Logger returns the logger of the balancer.
func (b *Balancer) Logger() *log.Logger { return b.log }

// Threads returns the threads to start, including those of the control session.
func (b *Balancer) Threads() []transport.Server {
	return append([]transport.Server{
		duty.New("receive packets", func(c context.Context) error {
			return b.clientSocket.Receive(c, func(d fabric.Datagram) error { return b.inputs.Push(c, input{packet: d}) })
		}),
		duty.New("receive replies", func(c context.Context) error {
			return b.agentSocket.Receive(c, func(d fabric.Datagram) error { return b.inputs.Push(c, input{reply: d}) })
		}),
		duty.New("direct packets", b.directPackets),
		duty.New("send", b.sendOutputs),
	}, b.session.Threads()...)
}

// Member returns the membership record of this balancer.
func (b *Balancer) Member() (balsampier.Member, bool) {
	m := b.member
	m.Draining = b.draining.Load()
	return m, true
}

// Ready returns an error until the balancer has received routes and membership,
// and again once it drains.
func (b *Balancer) Ready() error {
	if b.draining.Load() {
		return balsampier.NewError(balsampier.KindClosed, "check readiness", "use another balancer; this one is stopping", nil)
	}
	if !b.session.Ready() {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "wait until a control instance is reached", nil)
	}
	return nil
}

// Drain makes the readiness check fail, so that routers use other balancers, and
// keeps forwarding until drainTimeout or until c ends. Then it leaves the
// membership.
func (b *Balancer) Drain(c context.Context) error {
	b.draining.Store(true)
	b.log.Info().Int64("flows", b.flows.Load()).Msg("stopping")
	t := b.options.Clock.NewTimer(drainTimeout)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
	b.session.Leave(c)
	return nil
}

// Reload replaces the seeds. Other fields of s are ignored.
func (b *Balancer) Reload(s Settings) { b.seeds.Set(s.Seeds) }

// enqueueState passes a newer state to the thread that directs packets. It
// blocks while the ring is full, since a state must not be dropped.
func (b *Balancer) enqueueState(s control.State) {
	if err := b.inputs.PushWith(context.Background(), input{state: &s}, ring.Block); err != nil {
		b.log.Warn().Err(err).Msg("state not adopted")
	}
}
