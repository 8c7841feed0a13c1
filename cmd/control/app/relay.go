package app

import (
	"context"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/control"
	"github.com/balsampier/balsampier/operator"
	"github.com/balsampier/balsampier/peer"
	"github.com/balsampier/balsampier/platform"
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/random"
)

const (
	// replicaTTL is how long a relay names a replica after it last heard of it:
	// several intervals between announcements.
	replicaTTL = 10 * time.Second
	// maxNamedReplicas bounds the replicas that a relay names: the log has at
	// most nine.
	maxNamedReplicas = 9
)

var (
	_ peer.ReplicaHandler         = (*Relay)(nil)
	_ peer.ControlHandler         = (*Relay)(nil)
	_ balsampier.DocumentCommands = (*Relay)(nil)
	_ balsampier.DocumentQueries  = (*Relay)(nil)
)

type (
	// Relay is a control instance without a data folder: it directs callers to
	// an instance that has one.
	Relay struct {
		instanceSettings Settings
		log              *log.Logger
		seeds            *control.Seeds
		session          *control.Session
		member           balsampier.Member
		links            *links
		clock            balsampier.Clock

		mu sync.Mutex
		// heardAt is when each replica last announced itself to this relay.
		heardAt map[netip.AddrPort]time.Time
	}

	// RelayDump is the state of a relay for operators.
	RelayDump struct {
		Program string         `json:"program"`
		Name    string         `json:"name"`
		Control control.Status `json:"control"`
		// Leader is the operator address that callers are directed to; empty if
		// there is none.
		Leader string `json:"leader"`
		// Replicas are the peer addresses that the relay names to members.
		Replicas []netip.AddrPort `json:"replicas"`
	}
)

func runRelay(s Settings, key peer.Key, opKey []byte, o net.Listener, ps *peer.Server) error {
	r, err := newRelay(s, clock.System{}, key)
	if err != nil {
		return err
	}
	if err := ps.AddReplica(key, r); err != nil {
		return err
	}
	if err := ps.AddControl(key, r); err != nil {
		return err
	}
	h := operator.NewServer(o, opKey, r.Dump, r.Ready).AddLogLevel(r.log)
	platform.DocumentHandler{Commands: r, Queries: r}.Register(h)
	servers := append(r.session.Threads(), ps, h,
		process.NewReloader(s.Path(), clock.System{}, r.log, func(n Settings) { r.seeds.Set(n.Seeds) }))
	return process.Run(process.Program{Name: "control", Servers: servers, Logger: r.log})
}

func newRelay(s Settings, k balsampier.Clock, key peer.Key) (*Relay, error) {
	r := &Relay{
		clock: k, heardAt: make(map[netip.AddrPort]time.Time),
		instanceSettings: s, log: process.NewLogger("control", s.Name, s.Level()), seeds: control.NewSeeds(s.Seeds, s.PeerAddr.Port()),
		links: newLinks(key, balsampier.NewAddrInstanceID(s.PeerAddr), true),
		member: balsampier.Member{
			ID: balsampier.NewInstanceID(s.Name), Name: s.Name, Role: balsampier.RoleRelay,
			Incarnation: balsampier.NewIncarnation(k.Now()), DataCentre: s.DataCentre, PeerAddr: s.PeerAddr,
		},
	}
	var err error
	r.session, err = control.NewDocumentSession(control.Options{
		Clock: k, Random: random.System{}, Logger: r.log,
		Member: func() (balsampier.Member, bool) { return r.member, true }, OnState: func(control.State) {},
	}, key, r.seeds)
	return r, err
}

// Put implements balsampier.DocumentCommands.
func (r *Relay) Put(context.Context, balsampier.Document) error { return errNotLeader() }

// Newest implements balsampier.DocumentQueries.
func (r *Relay) Newest(context.Context) (balsampier.Document, error) {
	return balsampier.Document{}, errNotLeader()
}

// Leader implements balsampier.DocumentQueries: it returns the operator address
// of the instance that this one watches.
func (r *Relay) Leader() (netip.AddrPort, bool) {
	a, ok := r.session.WatchedAddr()
	return netip.AddrPortFrom(a.Addr(), r.instanceSettings.OperatorAddr.Port()), ok
}

// Ready returns an error until an instance with a data folder is connected.
func (r *Relay) Ready() error {
	if _, ok := r.session.WatchedAddr(); !ok {
		return balsampier.NewError(balsampier.KindUnavailable, "check readiness", "wait until a control instance is reached", nil)
	}
	return nil
}

// Dump returns the state for operators.
func (r *Relay) Dump() any {
	d := RelayDump{Program: "control", Name: r.instanceSettings.Name, Control: r.session.Status(), Replicas: r.replicas()}
	if a, ok := r.Leader(); ok {
		d.Leader = a.String()
	}
	return d
}

// Step implements peer.ReplicaHandler: it remembers the sender as a replica and
// declines bootstrap votes and join requests, because an instance without a disk
// cannot be a replica.
func (r *Relay) Step(c context.Context, ms []replicate.Message) error {
	for _, m := range ms {
		p, ok := r.links.getOrCreate(m.From.Instance)
		if !ok || m.Kind != replicate.MessageBootstrapVote && m.Kind != replicate.MessageJoin {
			continue
		}
		r.recordReplica(m.From.Instance.Addr())
		x, cancel := context.WithTimeout(c, stepTimeout)
		err := p.caller.Step(x, r.repliesTo(m.From))
		cancel()
		if err != nil {
			return err
		}
	}
	return nil
}

// repliesTo returns the replies to a replica: the relay declines, and names the
// other replicas that it knows, so that a blank one finds them.
func (r *Relay) repliesTo(to balsampier.Replica) []replicate.Message {
	self := balsampier.Replica{Instance: r.links.self}
	ms := []replicate.Message{{Kind: replicate.MessageDecline, From: self, To: to}}
	var others []balsampier.InstanceID
	for _, a := range r.replicas() {
		if i := balsampier.NewAddrInstanceID(a); i != to.Instance {
			others = append(others, i)
		}
	}
	if len(others) > 0 {
		ms = append(ms, replicate.Message{Kind: replicate.MessagePeers, From: self, To: to, Peers: others})
	}
	return ms
}

// recordReplica records that the replica at a announced itself. The own session
// uses it too, as the seeds may all be relays.
func (r *Relay) recordReplica(a netip.AddrPort) {
	now := r.clock.Now()
	r.mu.Lock()
	r.heardAt[a] = now
	for k, at := range r.heardAt {
		if now.Sub(at) > replicaTTL {
			delete(r.heardAt, k)
		}
	}
	r.mu.Unlock()
	r.session.LearnInstances(r.replicas())
}

// replicas returns the replicas that announced themselves within replicaTTL,
// sorted; without any, those of the view.
func (r *Relay) replicas() []netip.AddrPort {
	now := r.clock.Now()
	var as []netip.AddrPort
	r.mu.Lock()
	for a, at := range r.heardAt {
		if now.Sub(at) <= replicaTTL {
			as = append(as, a)
		}
	}
	r.mu.Unlock()
	if len(as) == 0 {
		as = r.session.ReplicaAddrs()
	}
	slices.SortFunc(as, netip.AddrPort.Compare)
	return as[:min(len(as), maxNamedReplicas)]
}

// Watch implements peer.ControlHandler: it names the replicas to watch instead.
func (r *Relay) Watch(_ context.Context, _ balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error {
	if as := r.replicas(); len(as) > 0 {
		if err := send(balsampier.WatchMessage{Instances: as}); err != nil {
			return err
		}
	}
	return errRelay("watch")
}

// Renew implements peer.ControlHandler.
func (r *Relay) Renew(context.Context, balsampier.Renewal) (balsampier.Lease, error) {
	return balsampier.Lease{}, errRelay("renew the lease")
}

// Leave implements peer.ControlHandler.
func (r *Relay) Leave(context.Context, balsampier.Holder) error { return errRelay("leave") }

func errRelay(op string) error {
	return balsampier.NewError(balsampier.KindUnavailable, op, "ask an instance with a data folder; a watch names them", nil)
}

// PassDigest implements peer.ReplicaHandler.
func (r *Relay) PassDigest(context.Context, lease.Digest) (lease.Receipt, error) {
	return lease.Receipt{}, errNotLeader()
}

// ReadIndex implements peer.ReplicaHandler.
func (r *Relay) ReadIndex(context.Context) (balsampier.Index, error) { return 0, errNotLeader() }
