// Package datagram joins the threads of an agent whose backend server takes
// and sends the packets of flows itself.
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
	"github.com/balsampier/balsampier/command/hold"
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

	// idleWait is how long the thread that keeps flows sleeps at most.
	idleWait = 2 * time.Second
	// stopTimeout bounds the farewell to control.
	stopTimeout = time.Second
	// lookInterval spaces looks at a server whose presence is in doubt, and
	// lookTimeout bounds one: the server is on the same machine.
	lookInterval = 200 * time.Millisecond
	lookTimeout  = 150 * time.Millisecond
	// maxHeardOf bounds the balancers that are told of the end: more than a
	// fleet of 1,200 has.
	maxHeardOf = 2048
	// heartbeatTimeout bounds the wait for the thread that keeps flows.
	heartbeatTimeout = 800 * time.Millisecond
)

type (
	// Settings are the settings of the datagram front end.
	Settings struct {
		// Service is that of the backend server.
		Service balsampier.ServiceName `yaml:"service"`
		// ServerAddr is where the backend server takes packets; it sends its
		// own to OutboundAddr.
		ServerAddr   netip.AddrPort `yaml:"serverAddress"`
		OutboundAddr netip.AddrPort `yaml:"outboundAddress"`
		// Seeds are addresses of control instances; their peer port is
		// ControlPort.
		Seeds       []netip.AddrPort `yaml:"seeds"`
		ControlPort uint16           `yaml:"controlPort"`
		// Joining is false where the agent starts together with the whole
		// system, so that no flow is older than it.
		Joining bool `yaml:"joining"`
	}

	// Options are what an agent is made of.
	Options struct {
		Settings
		settings.Common
		// PeerAddr takes the packets of balancers. Its port is that of the
		// clients.
		PeerAddr netip.AddrPort
		Key      []byte
		Clock    balsampier.Clock
		Random   balsampier.Random
		Codec    balsampier.SegmentCodec
		Parser   balsampier.DocumentParser
	}

	// Agent holds the threads and what joins them.
	Agent struct {
		o       Options
		log     *log.Logger
		limit   *process.LogLimiter
		sealer  *peer.Sealer
		seeds   *control.Seeds
		session *control.Session
		member  balsampier.Member
		// server is what the backend server said last; nil while there is
		// none.
		server   atomic.Pointer[balsampier.ServerState]
		stopping atomic.Bool

		balancers *fabric.Socket
		outbound  *fabric.Socket
		inputs    *ring.Ring[input]
		outputs   *ring.Ring[output]
		// holder and routes belong to the thread that keeps flows.
		holder *hold.FlowTable
		routes allowed
		load   atomic.Pointer[balsampier.Load]
		// doubtful is true while it is in doubt whether a server listens;
		// doubts wakes the thread that looks.
		doubtful atomic.Bool
		doubts   chan struct{}
		// heardOf are the balancers that sent relays; it belongs to the thread
		// that keeps flows.
		heardOf  map[netip.AddrPort]struct{}
		counters counters
	}

	// input is one message to the thread that keeps flows; one of the fields
	// is set.
	input struct {
		// relay comes from a balancer, packet from the server.
		relay, packet fabric.Datagram
		statement     *statement
		state         *control.State
		// absent is true when nothing listens at the address of the server,
		// ended when the agent stops after it.
		absent, ended bool
	}

	// statement is what the server said by HTTP.
	statement struct {
		// heartbeat is nil for a farewell of the run called id.
		heartbeat *balsampier.ServerState
		id        string
		// done has room for one error.
		done chan error
	}

	// output is one datagram.
	output struct {
		to netip.AddrPort
		// relay is true for answers to balancers.
		relay bool
		b     []byte
		buf   *buffer
	}

	// buffer has room for any relay or packet.
	buffer [peer.MaxEnvelopeBytes]byte
)

// buffers are given back by the thread that sends.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// Run runs an agent until it is stopped.
func Run(s Settings, m settings.Common, peerAddr, backendAddr netip.AddrPort, reloader func(*Agent) transport.Server) error {
	key, err := settings.ReadKey(m.PeerKeyFile)
	if err != nil {
		return err
	}
	opKey, err := settings.ReadKey(m.OperatorKeyFile)
	if err != nil {
		return err
	}
	a, err := New(Options{
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
	os := operator.NewServer(l, opKey, a.Dump, a.Ready).AddLogLevel(a.log)
	platform.RegisterReady(os, a.Ready)
	b, err := process.Listen("backendAddress", backendAddr)
	if err != nil {
		return err
	}
	bs := process.NewHTTPServer(b)
	platform.ServerHandler{Heartbeat: a.heartbeat, Deregister: a.farewell}.Register(bs)
	return process.Run(process.Program{
		Name: "agent", Servers: append(a.Threads(), os, bs, reloader(a)), Drain: a.Drain, DrainTimeout: stopTimeout, Logger: a.log,
	})
}

// New binds the sockets of an agent.
func New(o Options) (*Agent, error) {
	a := &Agent{
		o: o, log: process.NewLogger("agent", o.Name, o.Level()), limit: process.NewLogLimiter(o.Clock),
		sealer: peer.NewSealer(o.Key), seeds: control.NewSeeds(o.Seeds, o.ControlPort),
		inputs:  ring.New[input]("inputs", ringDepth, ring.DropNewest),
		outputs: ring.New[output]("outputs", ringDepth, ring.DropNewest),
		member: balsampier.Member{
			ID: balsampier.NewInstanceID(o.Name), Name: o.Name, Role: balsampier.RoleAgent,
			Incarnation: balsampier.NewIncarnation(o.Clock.Now()), DataCentre: o.DataCentre,
			Addr: o.PeerAddr, PeerAddr: o.PeerAddr, Service: o.Service,
		},
		counters: newCounters(), doubts: make(chan struct{}, 1), heardOf: make(map[netip.AddrPort]struct{}),
	}
	now := o.Clock.Now()
	a.holder = hold.New(hold.Config{
		Service: o.Service, KnowsAllFlows: !o.Joining, StartedAt: now, Allowed: a.routes.allows,
	}, now)
	a.load.Store(&balsampier.Load{})
	ring.Register(a.inputs)
	ring.Register(a.outputs)
	var err error
	if a.balancers, err = fabric.Listen(o.PeerAddr, o.PeerAddr, o.Clock); err != nil {
		return nil, err
	}
	if a.outbound, err = fabric.Listen(o.OutboundAddr, o.OutboundAddr, o.Clock); err != nil {
		return nil, err
	}
	a.session, err = control.NewDocumentSession(control.Options{
		Clock: o.Clock, Random: o.Random, Logger: a.log, Member: a.Member, Parser: o.Parser, OnState: a.changed,
	}, peer.NewKey(o.Key), a.seeds)
	if err != nil {
		return nil, err
	}
	a.session.ExportMetrics()
	return a, nil
}

// Check adds a fault for everything that is wrong.
func (s *Settings) Check(f *settings.Faults) {
	f.Required("datagram.service", string(s.Service))
	f.Addr("datagram.serverAddress", s.ServerAddr)
	f.Addr("datagram.outboundAddress", s.OutboundAddr)
	f.Positive("datagram.controlPort", int(s.ControlPort))
	if len(s.Seeds) == 0 {
		f.Add("datagram.seeds", "", "list the address of at least one control instance")
	}
}

// Logger returns the log of the agent.
func (a *Agent) Logger() *log.Logger { return a.log }

// Threads returns the threads of the agent.
func (a *Agent) Threads() []transport.Server {
	return append([]transport.Server{
		duty.New("receive relays", func(c context.Context) error {
			return a.balancers.Receive(c, func(d fabric.Datagram) error { return a.inputs.Push(c, input{relay: d}) })
		}),
		duty.New("receive from server", func(c context.Context) error {
			return a.outbound.Receive(c, func(d fabric.Datagram) error { return a.inputs.Push(c, input{packet: d}) })
		}),
		duty.New("keep flows", a.keep),
		duty.New("look at server", a.look),
		duty.New("send", a.send),
	}, a.session.Threads()...)
}

// Member returns the own member. It takes no new flows while there is no
// server that does.
func (a *Agent) Member() (balsampier.Member, bool) {
	m := a.member
	m.Slots, m.Draining = 1, true
	if s := a.server.Load(); s != nil {
		m.Slots, m.Draining = s.Slots, s.Draining
	}
	return m, true
}

// Ready returns an error while the agent takes no new flows.
func (a *Agent) Ready() error {
	if m, _ := a.Member(); m.Draining || a.stopping.Load() {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "use another agent; this one takes no new flows", nil)
	}
	return nil
}

// Drain says farewell where the server has ended. Where it lives, the agent
// comes back soon and is waited for.
func (a *Agent) Drain(c context.Context) error {
	a.stopping.Store(true)
	s := a.server.Load()
	ended := s == nil || a.refused(c)
	a.log.Info().Bool("serverEnded", ended).Msg("stopping")
	if ended {
		if err := a.inputs.PushWith(c, input{ended: true}, ring.Block); err != nil {
			a.log.Warn().Err(err).Msg("balancers not told of the end")
		}
	}
	if ended || s.Draining {
		a.session.Leave(c)
	}
	return nil
}

// Reload takes over the seeds.
func (a *Agent) Reload(s Settings) { a.seeds.Set(s.Seeds) }

// heartbeat takes over what the server says. Its answer leaves only after the
// thread that keeps flows obeys it.
func (a *Agent) heartbeat(c context.Context, s balsampier.ServerState) error {
	return a.state(c, &statement{heartbeat: &s, done: make(chan error, 1)})
}

func (a *Agent) farewell(c context.Context, id string) error {
	return a.state(c, &statement{id: id, done: make(chan error, 1)})
}

func (a *Agent) state(c context.Context, s *statement) error {
	c, cancel := context.WithTimeout(c, heartbeatTimeout)
	defer cancel()
	if err := a.inputs.PushWith(c, input{statement: s}, ring.Block); err != nil {
		return err
	}
	select {
	case err := <-s.done:
		return err
	case <-c.Done():
		return c.Err()
	}
}

// changed hands a newer state to the thread that keeps flows.
func (a *Agent) changed(s control.State) {
	if err := a.inputs.PushWith(context.Background(), input{state: &s}, ring.Block); err != nil {
		a.log.Warn().Err(err).Msg("state not adopted")
	}
}
