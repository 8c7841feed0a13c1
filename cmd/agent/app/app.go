// Package app is the agent of a backend server that takes HTTP requests: it
// ends the callers' QUIC connections and forwards their requests.
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

	// drainDelay is how long a draining agent waits for balancers to stop
	// sending it new flows.
	drainDelay = 2 * time.Second
)

type (
	// Agent holds the threads of an agent and the rings between them.
	Agent struct {
		settings Settings
		log      *log.Logger
		clock    balsampier.Clock
		random   balsampier.Random
		sealer   *peer.Sealer
		codec    *caller.IDCodec
		key      []byte
		cert     *caller.Certificate

		session *control.Session
		table   atomic.Pointer[steer.Table]
		self    balsampier.Member
		// server is the announced backend server; nil before its first
		// announcement.
		server atomic.Pointer[announcedServer]
		// stopping is set once, by the graceful shutdown.
		stopping atomic.Bool

		peerConn  *net.UDPConn
		envelopes *ring.Ring[inboundMessage]
		outbound  *ring.Ring[outboundEnvelope]
		admission *admission
		// placement belongs to the thread that processes envelopes.
		placement   *placement
		health      *health
		claims      *claims
		peerClients *peerClients
		streams     atomic.Int64
		counters    counters
		// ids makes connection IDs unique across endpoints.
		ids atomic.Uint32

		mu sync.Mutex
		// endpoints has an entry for each service address in use.
		endpoints map[netip.AddrPort]*endpoint
	}

	// announcedServer is the backend server beside the agent.
	announcedServer struct {
		backend.Announcement
		proxy *backend.Proxy
		// since is the time of the server's first announcement.
		since time.Time
	}

	// outboundEnvelope is one sealed envelope to send.
	outboundEnvelope struct {
		to   netip.AddrPort
		data []byte
		// buf holds data and is returned to the pool after the send; nil when
		// data is sent to several agents.
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
	h.Handle(backend.PathAnnounce, backend.AnnounceHandler(a.handleAnnouncement))
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

// New returns an agent with its sockets bound; Threads returns its threads.
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
		settings: s, clock: k, random: r, key: key, codec: codec, sealer: peer.NewSealer(key), cert: cert,
		log:       process.NewLogger("agent", s.Name, s.Level()),
		envelopes: ring.New[inboundMessage]("envelopes", s.RingDepth, ring.DropNewest),
		outbound:  ring.New[outboundEnvelope]("outbound", s.RingDepth, ring.DropNewest),
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
	a.peerClients = newPeerClients(peer.NewKey(key), a.findPeerAddr)
	ring.Register(a.envelopes)
	ring.Register(a.outbound)
	ring.Register(a.admission.events)
	ring.Register(a.claims.messages)
	ring.Register(a.claims.calls)
	if a.peerConn, err = fabric.ListenUDP(s.PeerAddr); err != nil {
		return nil, err
	}
	a.session, err = control.NewSession(control.Options{
		Client: peer.NewControlClient(peer.NewKey(key), s.Control, r), Clock: k, Random: r, Logger: a.log, InstanceCount: len(s.Control),
		Member: a.Member, OnState: a.onState, ClaimEpochs: a.claims.reportedEpochs, OnLease: a.claims.onLease,
	})
	if err != nil {
		return nil, err
	}
	a.session.ExportMetrics()
	a.onState(a.session.State())
	return a, nil
}

// Threads returns the threads of the agent.
func (a *Agent) Threads() []transport.Server {
	return append([]transport.Server{
		duty.New("receive envelopes", a.receiveEnvelopes),
		duty.New("decide on envelopes", a.processEnvelopes),
		duty.New("send envelopes", a.sendEnvelopes),
		duty.New("admit requests", a.admission.run),
		duty.New("close endpoints", a.closeEndpoints),
		duty.New("exchange loads", a.exchangeLoads),
		duty.New("monitor backend server", a.monitorHealth),
		duty.New("query backend server", a.pollServer),
		duty.New("manage claims", a.claims.run),
		duty.New("call agents", a.claims.runCalls(a.peerClients)),
	}, a.session.Threads()...)
}

// Member returns this agent as a member of the view; ok is false before the
// first announcement of the backend server.
func (a *Agent) Member() (balsampier.Member, bool) {
	v := a.server.Load()
	if v == nil {
		return a.self, false
	}
	m := a.self
	m.Service, m.Slots = v.Service, v.Slots
	m.Draining = v.Draining || a.stopping.Load() || a.health.unavailable()
	return m, true
}

// Ready returns an error while the agent accepts no new work.
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

// Drain first serves on for drainDelay, so that balancers can stop sending new
// flows. Then it asks callers to reconnect elsewhere, waits for running
// requests and leaves control.
func (a *Agent) Drain(c context.Context) error {
	a.stopping.Store(true)
	a.session.RenewNow()
	t := a.clock.NewTimer(drainDelay)
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

// handleAnnouncement applies an announcement of the backend server. The service
// must not change.
func (a *Agent) handleAnnouncement(n backend.Announcement) error {
	old := a.server.Load()
	if old != nil && old.Service != n.Service {
		return balsampier.NewError(balsampier.KindConflict, "change service "+string(old.Service)+" to "+string(n.Service),
			"restart the agent, so that no caller of the one reaches the other", nil)
	}
	a.health.post(healthEvent{kind: healthAnnounced})
	if old != nil && old.Announcement == n {
		return nil
	}
	v := &announcedServer{Announcement: n, since: a.clock.Now()}
	if old != nil {
		v.since = old.since
	}
	if old != nil && old.Addr == n.Addr {
		v.proxy = old.proxy
	} else {
		v.proxy = backend.NewProxy(n.Addr)
		v.proxy.Observe = a.observeRequest
	}
	a.server.Store(v)
	a.admission.setSlots(n.Slots)
	a.log.Info().Str("service", string(n.Service)).Stringer("address", n.Addr).Bool("draining", n.Draining).Msg("backend server announced")
	a.session.RenewNow()
	return nil
}

// findPeerAddr returns the peer address of an agent; ok is false unless this
// incarnation of it is in the view.
func (a *Agent) findPeerAddr(h balsampier.Holder) (netip.AddrPort, bool) {
	m, ok := a.session.State().View.Find(h.Instance)
	return m.PeerAddr, ok && m.Holder() == h
}

// onState applies a newer control state to the steering table.
func (a *Agent) onState(s control.State) { a.table.Store(a.table.Load().Next(s.Table, s.View)) }
