package peer

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"storj.io/drpc"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
)

const callTimeout = 3 * time.Second

type (
	// ControlClient speaks to control instances over drpc, to one at a time.
	// After a failed call it moves on to the next.
	ControlClient struct {
		key Key
		// dialer connects to all instances.
		dialer dialer

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

// SetInstances replaces the addresses; as is not empty.
func (l *ControlClient) SetInstances(as []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs = slices.Clone(as)
	l.next %= len(l.addrs)
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
		Member: putMember(r.Member), Applied: uint64(r.AppliedRevision), Acknowledged: uint64(r.AcknowledgedEpoch),
		Complete: uint64(r.CompleteEpoch), Group: uint64(r.GroupEpoch),
	})
	if err != nil {
		l.drop(conn)
		return balsampier.Lease{}, decodeError("renew the lease", err)
	}
	return balsampier.Lease{
		TTL:    time.Duration(a.GetTermNanos()),
		Epoch:  balsampier.Epoch(a.GetEpoch()),
		Active: balsampier.Epoch(a.GetActive()),
		Claims: claimState(a.GetClaims()),
	}, nil
}

// Leave ends the lease of a member that has stopped.
func (l *ControlClient) Leave(c context.Context, h balsampier.Holder) error {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	conn, err := l.shared(c)
	if err != nil {
		return err
	}
	_, err = peerpb.NewDRPCControlCommandClient(conn).Leave(l.key.attach(c), &peerpb.LeaveRequest{Holder: putHolder(h)})
	if err != nil {
		l.drop(conn)
		return decodeError("leave", err)
	}
	return nil
}

// Watch calls f with each message until c ends, the stream breaks or f
// returns an error.
func (l *ControlClient) Watch(c context.Context, w balsampier.WatchRequest, f func(balsampier.WatchMessage) error) error {
	l.mu.Lock()
	a := l.addrs[w.ControlIndex%len(l.addrs)]
	l.mu.Unlock()
	conn, err := l.dialer.dial(c, a)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s, err := peerpb.NewDRPCControlQueryClient(conn).Watch(l.key.attach(c), &peerpb.WatchRequest{
		Member: putMember(w.Member), Revision: uint64(w.Position.Revision), Epoch: uint64(w.Position.Epoch),
	})
	if err != nil {
		return decodeError("watch", err)
	}
	defer func() { _ = s.Close() }()
	for {
		m, err := s.Recv()
		if err != nil {
			return decodeError("watch", err)
		}
		w, err := watchMessage(m)
		if err != nil {
			return err
		}
		if err := f(w); err != nil {
			return err
		}
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

// shared returns the connection for unary calls.
func (l *ControlClient) shared(c context.Context) (drpc.Conn, error) {
	l.mu.Lock()
	conn, a := l.conn, l.addrs[l.next]
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := l.dialer.dial(c, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.next = (l.next + 1) % len(l.addrs)
		return nil, err
	}
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
