package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
)

const (
	dialTimeout = 2 * time.Second
	callTimeout = 3 * time.Second
)

type (
	// ControlClient speaks to control instances over drpc, to one at a time.
	// After a failed call it moves on to the next.
	ControlClient struct {
		key Key

		mu sync.Mutex
		// addrs is never empty; next indexes it.
		addrs []netip.AddrPort
		next  int
		// conn is the connection for unary calls, nil when none is open.
		conn drpc.Conn
	}
)

var _ balsampier.ControlClient = (*ControlClient)(nil)

// NewControlClient returns a client that starts with the instance that the
// random number picks.
func NewControlClient(k Key, addrs []netip.AddrPort, r balsampier.Random) *ControlClient {
	return &ControlClient{key: k, addrs: addrs, next: int(r.Uint64() % uint64(len(addrs)))}
}

// Renew announces a member and renews its lease.
func (l *ControlClient) Renew(c context.Context, r balsampier.Renewal) (balsampier.Lease, error) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	conn, err := l.shared(c)
	if err != nil {
		return balsampier.Lease{}, err
	}
	a, err := peerpb.NewDRPCControlCommandClient(conn).Renew(l.key.attach(c), &peerpb.RenewRequest{
		Member: putMember(r.Member), Applied: uint64(r.Applied), Acknowledged: uint64(r.Acknowledged),
	})
	if err != nil {
		l.drop(conn)
		return balsampier.Lease{}, decodeError("renew the lease", err)
	}
	return balsampier.Lease{
		Term:   time.Duration(a.GetTermNanos()),
		Epoch:  balsampier.Epoch(a.GetEpoch()),
		Active: balsampier.Epoch(a.GetActive()),
	}, nil
}

// Watch calls f with each newer state until c ends or the stream breaks.
func (l *ControlClient) Watch(c context.Context, i balsampier.InstanceID, f func(balsampier.Update)) error {
	conn, err := l.dial(c)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s, err := peerpb.NewDRPCControlQueryClient(conn).Watch(l.key.attach(c), &peerpb.WatchRequest{Instance: uint64(i)})
	if err != nil {
		return decodeError("watch", err)
	}
	defer func() { _ = s.Close() }()
	for {
		m, err := s.Recv()
		if err != nil {
			return decodeError("watch", err)
		}
		f(update(m))
	}
}

// Close closes the shared connection.
func (l *ControlClient) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

func update(m *peerpb.WatchResponse) balsampier.Update {
	var u balsampier.Update
	if m.GetRules() != nil {
		r := rules(m.GetRules())
		u.Rules = &r
	}
	if m.GetView() != nil {
		v := view(m.GetView())
		u.View = &v
	}
	return u
}

// shared returns the connection for unary calls.
func (l *ControlClient) shared(c context.Context) (drpc.Conn, error) {
	l.mu.Lock()
	conn := l.conn
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := l.dial(c)
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conn = conn
	return conn, nil
}

// drop forgets a connection that failed.
func (l *ControlClient) drop(conn drpc.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = conn.Close()
	if l.conn == conn {
		l.conn = nil
	}
	l.next = (l.next + 1) % len(l.addrs)
}

func (l *ControlClient) dial(c context.Context) (drpc.Conn, error) {
	l.mu.Lock()
	a := l.addrs[l.next]
	l.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout}
	n, err := d.DialContext(c, "tcp", a.String())
	if err != nil {
		l.mu.Lock()
		l.next = (l.next + 1) % len(l.addrs)
		l.mu.Unlock()
		return nil, decodeError("dial "+a.String(), err)
	}
	return drpcconn.New(n), nil
}
