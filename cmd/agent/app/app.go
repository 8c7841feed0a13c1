// Package app joins the threads of an agent.
package app

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/cmd/agent/datagram"
	"github.com/balsampier/balsampier/command/admit"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/fabric"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/query/steer"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/ring"
	"github.com/balsampier/balsampier/settings"
)

const (
	batchSize = 64

	// turnAway is how long balancers may take to stop sending new flows after
	// the agent said that it drains.
	turnAway = 2 * time.Second
)

type (
	// Agent holds the threads and what joins them.
	Agent struct {
		s      Settings
		log    *log.Logger
		clock  balsampier.Clock
		random balsampier.Random
		sealer *peer.Sealer
		codec  *caller.IDCodec
		key    []byte
		cert   *caller.Certificate

		session *control.Session
		table   atomic.Pointer[steer.Table]
		self    balsampier.Member
		// server is what the backend server announced; nil before it did.
		server atomic.Pointer[announced]
		// stopping is set once, by the graceful stop.
		stopping atomic.Bool

		peers     *net.UDPConn
		envelopes *ring.Ring[arrival]
		out       *ring.Ring[outbound]
		admission *admission
		// placement belongs to the thread that decides on envelopes.
		placement *placement
		health    *health
		claims    *claims
		callers   *callers
		streams   atomic.Int64
		counters  counters
		// ids makes connection IDs unique across endpoints.
		ids atomic.Uint32

		mu sync.Mutex
		// endpoints has an entry for each service address that was used.
		endpoints map[netip.AddrPort]*endpoint
	}

	// announced is the backend server beside the agent.
	announced struct {
		backend.Announcement
		proxy *backend.Proxy
		// since is when the server first announced itself.
		since time.Time
	}

	// outbound is one sealed envelope.
	outbound struct {
		to netip.AddrPort
		b  []byte
		// buf holds b and is given back after the send; nil when b is sent to
		// several agents.
		buf *buffer
	}
)

// Run runs an agent until it is stopped.
func Run(s Settings) error {
	if s.Datagram != nil {
		return datagram.Run(*s.Datagram, s.Common, s.PeerAddr, s.BackendAddr, func(a *datagram.Agent) transport.Server {
			return process.NewReloader(s.Path(), clock.System{}, a.Logger(), func(n Settings) {
				if n.Datagram != nil {
					a.Reload(*n.Datagram)
				}
			})
		})
	}
	a, err := New(s, clock.System{}, random.System{})
	if err != nil {
		return err
	}
	o, err := process.Listen("operatorAddress", s.OperatorAddr)
	if err != nil {
		return err
	}
	b, err := process.Listen("backendAddress", s.BackendAddr)
	if err != nil {
		return err
	}
	k, err := settings.ReadKey(s.OperatorKeyFile)
	if err != nil {
		return err
	}
	h := process.NewHTTPServer(b)
	h.Handle(backend.PathAnnounce, backend.AnnounceHandler(a.announce))
	p, err := process.Listen("peerAddress", s.PeerAddr)
	if err != nil {
		return err
	}
	ps := peer.NewServer(p)
	if err := ps.AddClaims(peer.NewKey(a.key), a.claims); err != nil {
		return err
	}
	servers := append(a.Threads(), ps, operator.NewServer(o, k, a.Dump, a.Ready).AddLogLevel(a.log), h)
	return process.Run(process.Program{
		Name: "agent", Servers: servers, Drain: a.Drain, DrainTimeout: s.DrainTimeout, Logger: a.log,
	})
}

// New binds the sockets of an agent.
func New(s Settings, k balsampier.Clock, r balsampier.Random) (*Agent, error) {
	key, err := settings.ReadKey(s.PeerKeyFile)
	if err != nil {
		return nil, err
	}
	codec, err := caller.NewIDCodec(key)
	if err != nil {
		return nil, err
	}
	cert, err := caller.LoadCertificate(s.CertFile, s.KeyFile, k)
	if err != nil {
		return nil, err
	}
	a := &Agent{
		s: s, clock: k, random: r, key: key, codec: codec, sealer: peer.NewSealer(key), cert: cert,
		log:       process.NewLogger("agent", s.Name, s.Level()),
		envelopes: ring.New[arrival]("envelopes", s.RingDepth, ring.DropNewest),
		out:       ring.New[outbound]("outbound", s.RingDepth, ring.DropNewest),
		endpoints: make(map[netip.AddrPort]*endpoint),
		counters:  newCounters(),
		self: balsampier.Member{
			ID: balsampier.NewInstanceID(s.Name), Name: s.Name, Role: balsampier.RoleAgent,
			Incarnation: balsampier.NewIncarnation(k.Now()), DataCentre: s.DataCentre,
			Addr: s.PeerAddr, PeerAddr: s.PeerAddr,
		},
	}
	a.placement = newPlacement(a.self.Holder(), r)
	a.health = newHealth(a.self.ID, s.RingDepth)
	ring.Register(a.health.events)
	a.admission = newAdmission(admit.NewQueue(s.admission()), k, s.RingDepth)
	a.claims = newClaims(a.self.Holder(), s.claims(), s.answers(), k, s.RingDepth, func() { a.session.RenewNow() })
	a.callers = newCallers(peer.NewKey(key), a.find)
	ring.Register(a.envelopes)
	ring.Register(a.out)
	ring.Register(a.admission.events)
	ring.Register(a.claims.messages)
	ring.Register(a.claims.calls)
	if a.peers, err = fabric.ListenUDP(s.PeerAddr); err != nil {
		return nil, err
	}
	a.session, err = control.NewSession(control.Options{
		Client: peer.NewControlClient(peer.NewKey(key), s.Control, r), Clock: k, Random: r, Logger: a.log, InstanceCount: len(s.Control),
		Member: a.Member, OnState: a.changed, ClaimEpochs: a.claims.reported, OnLease: a.claims.told,
	})
	if err != nil {
		return nil, err
	}
	a.session.ExportMetrics()
	a.changed(a.session.State())
	return a, nil
}

// Threads returns the threads of the agent.
func (a *Agent) Threads() []transport.Server {
	return append([]transport.Server{
		duty.New("receive envelopes", a.receive),
		duty.New("decide on envelopes", a.decide),
		duty.New("send envelopes", a.send),
		duty.New("admit requests", a.admission.run),
		duty.New("close endpoints", a.closeEndpoints),
		duty.New("exchange loads", a.exchangeLoads),
		duty.New("judge backend server", a.judge),
		duty.New("ask backend server", a.ask),
		duty.New("keep claims", a.claims.run),
		duty.New("call agents", a.claims.makeCalls(a.callers)),
	}, a.session.Threads()...)
}

// Member returns the own member; ok is false until the backend server
// announced itself.
func (a *Agent) Member() (balsampier.Member, bool) {
	v := a.server.Load()
	if v == nil {
		return a.self, false
	}
	m := a.self
	m.Service, m.Slots = v.Service, v.Slots
	m.Draining = v.Draining || a.stopping.Load() || a.health.away()
	return m, true
}

// Ready returns an error while the agent takes no new work.
func (a *Agent) Ready() error {
	m, ok := a.Member()
	switch {
	case !ok:
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "let the backend server announce itself", nil)
	case m.Draining:
		return balsampier.NewError(balsampier.KindClosed, "check readiness", "use another agent; this one drains", nil)
	case !a.session.Ready():
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "wait until a control instance is reached", nil)
	}
	return nil
}

// Drain lets balancers turn away, then asks callers to go away and waits for
// running requests.
func (a *Agent) Drain(c context.Context) error {
	a.stopping.Store(true)
	a.session.RenewNow()
	t := a.clock.NewTimer(turnAway)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
		return c.Err()
	}
	err := a.shutdownEndpoints(c)
	a.claims.leave()
	a.session.Leave(c)
	return err
}

// announce takes what the backend server says of itself.
func (a *Agent) announce(n backend.Announcement) error {
	old := a.server.Load()
	if old != nil && old.Service != n.Service {
		return balsampier.NewError(balsampier.KindConflict, "change service "+string(old.Service)+" to "+string(n.Service),
			"restart the agent, so that no caller of the one reaches the other", nil)
	}
	a.health.post(healthEvent{kind: healthAnnounced})
	if old != nil && old.Announcement == n {
		return nil
	}
	v := &announced{Announcement: n, since: a.clock.Now()}
	if old != nil {
		v.since = old.since
	}
	if old != nil && old.Addr == n.Addr {
		v.proxy = old.proxy
	} else {
		v.proxy = backend.NewProxy(n.Addr)
		v.proxy.Observe = a.observe
	}
	a.server.Store(v)
	a.admission.setSlots(n.Slots)
	a.log.Info().Str("service", string(n.Service)).Stringer("address", n.Addr).Bool("draining", n.Draining).Msg("backend server announced")
	a.session.RenewNow()
	return nil
}

// find returns the address of a run of an agent.
func (a *Agent) find(h balsampier.Holder) (netip.AddrPort, bool) {
	m, ok := a.session.State().View.Find(h.Instance)
	return m.PeerAddr, ok && m.Holder() == h
}

func (a *Agent) changed(s control.State) { a.table.Store(a.table.Load().Next(s.Table, s.View)) }
