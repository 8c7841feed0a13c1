// Package datagram is the agent's datagram front end, for a backend server that
// receives and sends the packets of its flows itself.
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
	"github.com/balsampier/balsampier/command/collect"
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

	// idleInterval is the longest sleep of the flow thread.
	idleInterval = 2 * time.Second
	// leaveTimeout bounds Drain, which notifies the balancers and leaves
	// control.
	leaveTimeout = time.Second
	// probeInterval is the time between probes of a server that may be absent.
	// probeTimeout bounds one probe; it is short because the server runs on the
	// same machine.
	probeInterval = 200 * time.Millisecond
	probeTimeout  = 150 * time.Millisecond
	// maxKnownBalancers bounds the balancers that get a shutdown notice. It
	// exceeds the number of balancers in a fleet of 1,200.
	maxKnownBalancers = 2048
	// maxClockError is how far the start of a server may be ahead of the
	// agent's clock. Later starts are refused: they would hide all heartbeats of
	// the real server.
	maxClockError = time.Hour
	// serverMessageTimeout bounds the wait until the flow thread has handled a
	// message of the server.
	serverMessageTimeout = 800 * time.Millisecond
)

type (
	// Settings are the settings of the datagram front end.
	Settings struct {
		// Service is the service of the backend server.
		Service balsampier.ServiceName `yaml:"service"`
		// ServerAddr is where the backend server receives packets; it sends its
		// own packets to OutboundAddr.
		ServerAddr   netip.AddrPort `yaml:"serverAddress"`
		OutboundAddr netip.AddrPort `yaml:"outboundAddress"`
		// Seeds lists addresses of control instances; ControlPort is their peer
		// port.
		Seeds       []netip.AddrPort `yaml:"seeds"`
		ControlPort uint16           `yaml:"controlPort"`
		// Joining is true when the agent joins a running system. False means
		// that the whole system starts with it, so that no flow is older than
		// the agent.
		Joining bool `yaml:"joining"`
	}

	// Options holds the settings and dependencies of an agent.
	Options struct {
		Settings
		settings.Common
		// PeerAddr receives the packets of balancers. Its port is also the
		// port that packets to clients are sent to.
		PeerAddr netip.AddrPort
		Key      []byte
		Clock    balsampier.Clock
		Random   balsampier.Random
		Codec    balsampier.SegmentCodec
		Parser   balsampier.DocumentParser
	}

	// Agent holds the threads of an agent and the rings between them.
	Agent struct {
		options  Options
		log      *log.Logger
		logLimit *process.LogLimiter
		sealer   *peer.Sealer
		seeds    *control.Seeds
		session  *control.Session
		member   balsampier.Member
		// server is the last reported state of the backend server; nil while
		// there is no server.
		server   atomic.Pointer[balsampier.ServerState]
		stopping atomic.Bool

		balancers *fabric.Socket
		outbound  *fabric.Socket
		inputs    *ring.Ring[input]
		outputs   *ring.Ring[output]
		// flows, collector and routes belong to the flow thread.
		flows     *hold.FlowTable
		collector collect.Collector
		routes    allowedAddrs
		load      atomic.Pointer[balsampier.Load]
		// serverUncertain is true while it is uncertain whether a server
		// listens; wakeProbe wakes the thread that probes it.
		serverUncertain atomic.Bool
		wakeProbe       chan struct{}
		// knownBalancers holds the balancers that sent relays; it belongs to
		// the flow thread.
		knownBalancers map[netip.AddrPort]struct{}
		counters       counters
	}

	// input is one message to the flow thread; exactly one field is set.
	input struct {
		// relay is from a balancer, packet from the server.
		relay, packet fabric.Datagram
		serverMessage *serverMessage
		state         *control.State
		// serverAbsent is true when nothing listens at the server's address, and
		// serverListens when a server does.
		serverAbsent, serverListens bool
		// stop is set when the agent stops.
		stop *stopRequest
	}

	// stopRequest asks the flow thread whether the server has ended, and to
	// notify the balancers if so.
	stopRequest struct {
		// absent is true if nothing listens at the server's address.
		absent bool
		// hasEnded receives the answer and has a capacity of one.
		hasEnded chan bool
	}

	// serverMessage is a heartbeat or a shutdown notice that the server sent over
	// HTTP.
	serverMessage struct {
		// heartbeat is nil for the shutdown notice of the server run id.
		heartbeat *balsampier.ServerState
		id        string
		// done receives the result and has a capacity of one, so that the flow
		// thread never blocks on it.
		done chan error
	}

	// output is one datagram to send.
	output struct {
		to netip.AddrPort
		// relay is true for relays to balancers.
		relay bool
		data  []byte
		buf   *buffer
	}

	// buffer is large enough for any relay or packet.
	buffer [peer.MaxEnvelopeBytes]byte
)

// buffers holds free buffers; the sending thread returns them to it.
var buffers = sync.Pool{New: func() any { return new(buffer) }}

// Run runs an agent until it is stopped. reloader returns the thread that
// reloads the settings file.
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
	platform.ServerHandler{Heartbeat: a.onHeartbeat, Deregister: a.onShutdown}.Register(bs)
	return process.Run(process.Program{
		Name: "agent", Servers: append(a.Threads(), os, bs, reloader(a)), Drain: a.Drain, DrainTimeout: leaveTimeout, Logger: a.log,
	})
}

// New returns an agent with its sockets bound; Threads returns its threads.
func New(o Options) (*Agent, error) {
	a := &Agent{
		options: o, log: process.NewLogger("agent", o.Name, o.Level()), logLimit: process.NewLogLimiter(o.Clock),
		sealer: peer.NewSealer(o.Key), seeds: control.NewSeeds(o.Seeds, o.ControlPort),
		inputs:  ring.New[input]("inputs", ringDepth, ring.DropNewest),
		outputs: ring.New[output]("outputs", ringDepth, ring.DropNewest),
		member: balsampier.Member{
			ID: balsampier.NewInstanceID(o.Name), Name: o.Name, Role: balsampier.RoleAgent,
			Incarnation: balsampier.NewIncarnation(o.Clock.Now()), DataCentre: o.DataCentre,
			Addr: o.PeerAddr, PeerAddr: o.PeerAddr, Service: o.Service,
		},
		counters: newCounters(), wakeProbe: make(chan struct{}, 1), knownBalancers: make(map[netip.AddrPort]struct{}),
	}
	now := o.Clock.Now()
	a.flows = hold.New(hold.Config{
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
		Clock: o.Clock, Random: o.Random, Logger: a.log, Member: a.Member, Parser: o.Parser, OnState: a.onState,
	}, peer.NewKey(o.Key), a.seeds)
	if err != nil {
		return nil, err
	}
	a.session.ExportMetrics()
	return a, nil
}

// Check adds a fault for each invalid setting.
func (s *Settings) Check(f *settings.Faults) {
	f.Required("datagram.service", string(s.Service))
	f.Addr("datagram.serverAddress", s.ServerAddr)
	f.Addr("datagram.outboundAddress", s.OutboundAddr)
	f.Positive("datagram.controlPort", int(s.ControlPort))
	if len(s.Seeds) == 0 {
		f.Add("datagram.seeds", "", "list the address of at least one control instance")
	}
}

// Logger returns the logger of the agent.
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
		duty.New("manage flows", a.manageFlows),
		duty.New("probe server", a.probeServer),
		duty.New("send", a.sendOutputs),
	}, a.session.Threads()...)
}

// Member returns this agent as a member of the view. It is draining while no
// server accepts new flows.
func (a *Agent) Member() (balsampier.Member, bool) {
	m := a.member
	m.Slots, m.Draining = 1, true
	if s := a.server.Load(); s != nil {
		m.Slots, m.Draining = s.Slots, s.Draining
	}
	return m, true
}

// Ready returns an error while the agent accepts no new flows.
func (a *Agent) Ready() error {
	if m, _ := a.Member(); m.Draining || a.stopping.Load() {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "use another agent; this one accepts no new flows", nil)
	}
	return nil
}

// Drain notifies the balancers and leaves control if it is known that the server
// has ended. Otherwise the agent may only be restarted beside a server that runs,
// draining or not, so the others keep waiting for it.
func (a *Agent) Drain(c context.Context) error {
	a.stopping.Store(true)
	r := &stopRequest{absent: a.checkServer(c) == serverAbsent, hasEnded: make(chan bool, 1)}
	if err := a.inputs.PushWith(c, input{stop: r}, ring.Block); err != nil {
		a.log.Warn().Err(err).Msg("cannot notify balancers of the shutdown")
		return nil
	}
	select {
	case ended := <-r.hasEnded:
		a.log.Info().Bool("serverEnded", ended).Bool("listens", !r.absent).Msg("stopping")
		if ended {
			a.session.Leave(c)
		}
	case <-c.Done():
		a.log.Warn().Msg("stopping; it is not known whether the server has ended")
	}
	return nil
}

// Reload replaces the seeds and ignores all other settings.
func (a *Agent) Reload(s Settings) { a.seeds.Set(s.Seeds) }

// onHeartbeat handles a heartbeat of the server. It returns, and so answers the
// server, only after the flow thread has applied the state.
func (a *Agent) onHeartbeat(c context.Context, s balsampier.ServerState) error {
	return a.submitServerMessage(c, &serverMessage{heartbeat: &s, done: make(chan error, 1)})
}

// onShutdown handles the shutdown notice of the server run id.
func (a *Agent) onShutdown(c context.Context, id string) error {
	return a.submitServerMessage(c, &serverMessage{id: id, done: make(chan error, 1)})
}

// submitServerMessage enqueues a message of the server and waits until the flow
// thread has handled it.
func (a *Agent) submitServerMessage(c context.Context, s *serverMessage) error {
	c, cancel := context.WithTimeout(c, serverMessageTimeout)
	defer cancel()
	if err := a.inputs.PushWith(c, input{serverMessage: s}, ring.Block); err != nil {
		return err
	}
	select {
	case err := <-s.done:
		return err
	case <-c.Done():
		return c.Err()
	}
}

// onState passes a newer control state to the flow thread.
func (a *Agent) onState(s control.State) {
	if err := a.inputs.PushWith(context.Background(), input{state: &s}, ring.Block); err != nil {
		a.log.Warn().Err(err).Msg("cannot enqueue the new control state")
	}
}
