// Package app wires the sockets, rings and threads of a balancer with the QUIC
// front end.
package app

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-kratos/kratos/v2/transport"
	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/caller"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/cmd/balancer/datagram"
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

	// drainTimeout is how long a stopping balancer keeps forwarding. It holds
	// no flow state, so it only waits until the fabric and the agents send
	// their packets to other balancers.
	drainTimeout = 3 * time.Second
)

type (
	// Balancer forwards callers' packets to agents and the agents' responses
	// back to callers.
	Balancer struct {
		settings Settings
		log      *log.Logger
		clock    balsampier.Clock
		sealer   *peer.Sealer
		codec    *caller.IDCodec
		key      []byte

		session *control.Session
		table   atomic.Pointer[steer.Table]
		member  balsampier.Member
		// draining is set once, when the graceful stop begins.
		draining atomic.Bool

		// sockets and refusalEndpoints have one entry per service address.
		sockets          map[netip.AddrPort]*fabric.Socket
		refusalEndpoints map[netip.AddrPort]*caller.Endpoint
		peers            *net.UDPConn

		packets   *ring.Ring[fabric.Datagram]
		envelopes *ring.Ring[envelope]
		responses *ring.Ring[envelope]
		counters  counters
	}

	// envelope is one sealed envelope to or from an agent.
	envelope struct {
		to netip.AddrPort
		// data is a slice of buf, which returns to the pool once data is sent.
		data []byte
		buf  *buffer
	}
)

// Run runs a balancer until it is stopped. It starts the datagram front end if
// the settings have one, otherwise the QUIC front end.
func Run(s Settings) error {
	if s.Datagram != nil {
		return datagram.Run(*s.Datagram, s.Common, s.PeerAddr, func(b *datagram.Balancer) transport.Server {
			return process.NewReloader(s.Path(), clock.System{}, b.Logger(), func(n Settings) {
				if n.Datagram != nil {
					b.Reload(*n.Datagram)
				}
			})
		})
	}
	key, err := settings.ReadKey(s.PeerKeyFile)
	if err != nil {
		return err
	}
	b, err := New(s, clock.System{}, random.System{}, key, peer.NewControlClient(peer.NewKey(key), s.Control, random.System{}))
	if err != nil {
		return err
	}
	l, err := process.Listen("operatorAddress", s.OperatorAddr)
	if err != nil {
		return err
	}
	k, err := settings.ReadKey(s.OperatorKeyFile)
	if err != nil {
		return err
	}
	servers := append(b.Threads(), operator.NewServer(l, k, b.Dump, b.Ready).AddLogLevel(b.log))
	return process.Run(process.Program{
		Name: "balancer", Servers: servers, Drain: b.Drain, DrainTimeout: drainTimeout, Logger: b.log,
	})
}

// New returns a balancer with its sockets bound. key is the key that all
// processes share.
func New(s Settings, k balsampier.Clock, r balsampier.Random, key []byte, l balsampier.ControlClient) (*Balancer, error) {
	codec, err := caller.NewIDCodec(key)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: s, clock: k, key: key, codec: codec, sealer: peer.NewSealer(key),
		log:              process.NewLogger("balancer", s.Name, s.Level()),
		sockets:          make(map[netip.AddrPort]*fabric.Socket),
		refusalEndpoints: make(map[netip.AddrPort]*caller.Endpoint),
		packets:          ring.New[fabric.Datagram]("packets", s.RingDepth, ring.DropNewest),
		envelopes:        ring.New[envelope]("envelopes", s.RingDepth, ring.DropNewest),
		responses:        ring.New[envelope]("answers", s.RingDepth, ring.DropNewest),
		member: balsampier.Member{
			ID: balsampier.NewInstanceID(s.Name), Name: s.Name, Role: balsampier.RoleBalancer,
			Incarnation: balsampier.NewIncarnation(k.Now()), DataCentre: s.DataCentre, Addr: s.PeerAddr,
		},
	}
	b.counters = newCounters()
	ring.Register(b.packets)
	ring.Register(b.envelopes)
	ring.Register(b.responses)
	if b.peers, err = fabric.ListenUDP(s.PeerAddr); err != nil {
		return nil, err
	}
	for _, v := range s.Services {
		if err := b.listen(v); err != nil {
			return nil, err
		}
	}
	b.session, err = control.NewSession(control.Options{
		Client: l, Clock: k, Random: r, Logger: b.log, InstanceCount: len(s.Control),
		Member: b.Member, OnState: b.updateTable,
	})
	if err != nil {
		return nil, err
	}
	b.session.ExportMetrics()
	b.updateTable(b.session.State())
	return b, nil
}

// Threads returns the threads to start, including those of the control session.
func (b *Balancer) Threads() []transport.Server {
	ts := []transport.Server{
		duty.New("steer packets", b.steerPackets),
		duty.New("send envelopes", b.sendEnvelopes),
		duty.New("receive responses", b.receiveResponses),
		duty.New("send responses", b.sendResponses),
	}
	for a, s := range b.sockets {
		ts = append(ts, duty.New("receive "+a.String(), func(c context.Context) error {
			return s.Receive(c, func(d fabric.Datagram) error { return b.packets.Push(c, d) })
		}), duty.New("refuse "+a.String(), b.serveRefusals(b.refusalEndpoints[a])))
	}
	return append(ts, b.session.Threads()...)
}

// Member returns the membership record of this balancer.
func (b *Balancer) Member() (balsampier.Member, bool) {
	m := b.member
	m.Draining = b.draining.Load()
	return m, true
}

// Ready returns an error until the balancer has received rules and membership,
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

// Drain announces that the balancer is stopping, so that the fabric and the
// agents use other balancers, and keeps forwarding until drainTimeout or until
// c ends. Then it leaves the membership.
func (b *Balancer) Drain(c context.Context) error {
	b.draining.Store(true)
	b.session.RenewNow()
	t := b.clock.NewTimer(drainTimeout)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
	b.session.Leave(c)
	return nil
}

func (b *Balancer) listen(v Service) error {
	s, err := fabric.Listen(v.Addr, v.Bind, b.clock)
	if err != nil {
		return err
	}
	b.sockets[v.Addr] = s
	e, err := caller.NewEndpoint(caller.Options{
		ServiceAddr: v.Addr, Holder: b.member.Holder(), Codec: b.codec, Key: b.key,
		Accept: refuseAll, Send: s.Send, IDCounter: new(atomic.Uint32), Clock: b.clock,
	})
	if err != nil {
		return err
	}
	b.refusalEndpoints[v.Addr] = e
	return nil
}

func (b *Balancer) updateTable(s control.State) { b.table.Store(b.table.Load().Next(s.Table, s.View)) }

func (b *Balancer) serveRefusals(e *caller.Endpoint) func(context.Context) error {
	return func(c context.Context) error {
		stop := context.AfterFunc(c, func() { _ = e.Close() })
		defer stop()
		return e.Serve()
	}
}

func refuseAll(netip.AddrPort) error {
	return balsampier.NewError(balsampier.KindNotRun, "accept connection", "connect when a rule is in force", nil)
}
