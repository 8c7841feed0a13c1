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

// callTimeout bounds a unary call, including the connection attempt.
const callTimeout = 3 * time.Second

type (
	// ControlClient calls control instances over drpc. Unary calls go to one
	// instance at a time; after a failed call the client switches to the next
	// instance.
	ControlClient struct {
		key Key
		// dialer is shared by the connections to all instances.
		dialer dialer

		mu sync.Mutex
		// addrs is never empty; currentAddr is the index of the instance
		// in use.
		addrs       []netip.AddrPort
		currentAddr int
		// conn is the connection for unary calls, to connAddr; nil if none is
		// open.
		conn     drpc.Conn
		connAddr netip.AddrPort
	}
)

var _ balsampier.ControlClient = (*ControlClient)(nil)

// NewControlClient returns a client that starts with a random instance. addrs
// must not be empty.
func NewControlClient(k Key, addrs []netip.AddrPort, r balsampier.Random) *ControlClient {
	return &ControlClient{key: k, addrs: addrs, currentAddr: int(r.Uint64() % uint64(len(addrs)))}
}

// SetInstances replaces the addresses of the instances; as must not be empty.
func (l *ControlClient) SetInstances(as []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.addrs = slices.Clone(as)
	l.currentAddr %= len(l.addrs)
}

// Renew announces a member to control and renews its lease.
func (l *ControlClient) Renew(c context.Context, r balsampier.Renewal) (balsampier.Lease, error) {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	conn, err := l.sharedConn(c)
	if err != nil {
		return balsampier.Lease{}, err
	}
	a, err := peerpb.NewDRPCControlCommandClient(conn).Renew(l.key.withProof(c), &peerpb.RenewRequest{
		Member: encodeMember(r.Member), Applied: uint64(r.AppliedRevision), Acknowledged: uint64(r.AcknowledgedEpoch),
		Complete: uint64(r.CompleteEpoch), Group: uint64(r.GroupEpoch),
	})
	if err != nil {
		return balsampier.Lease{}, decodeError("renew the lease at "+l.discardConn(conn), err)
	}
	return balsampier.Lease{
		TTL:    time.Duration(a.GetTermNanos()),
		Epoch:  balsampier.Epoch(a.GetEpoch()),
		Active: balsampier.Epoch(a.GetActive()),
		Claims: decodeClaimState(a.GetClaims()),
	}, nil
}

// Leave ends the lease of a member that has stopped.
func (l *ControlClient) Leave(c context.Context, h balsampier.Holder) error {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	conn, err := l.sharedConn(c)
	if err != nil {
		return err
	}
	_, err = peerpb.NewDRPCControlCommandClient(conn).Leave(l.key.withProof(c), &peerpb.LeaveRequest{Holder: encodeHolder(h)})
	if err != nil {
		return decodeError("leave at "+l.discardConn(conn), err)
	}
	return nil
}

// Watch opens a watch stream to the instance selected by w.ControlIndex and
// calls f with each message until c ends, the stream fails or f returns an
// error.
func (l *ControlClient) Watch(c context.Context, w balsampier.WatchRequest, f func(balsampier.WatchMessage) error) error {
	l.mu.Lock()
	a := l.addrs[w.ControlIndex%len(l.addrs)]
	l.mu.Unlock()
	conn, err := l.dialer.dial(c, a)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	s, err := peerpb.NewDRPCControlQueryClient(conn).Watch(l.key.withProof(c), &peerpb.WatchRequest{
		Member: encodeMember(w.Member), Revision: uint64(w.Position.Revision), Epoch: uint64(w.Position.Epoch),
	})
	if err != nil {
		return decodeError("watch "+a.String(), err)
	}
	defer func() { _ = s.Close() }()
	for {
		m, err := s.Recv()
		if err != nil {
			return decodeError("watch "+a.String(), err)
		}
		w, err := decodeWatchMessage(m)
		if err != nil {
			return err
		}
		if err := f(w); err != nil {
			return err
		}
	}
}

// Close closes the connection for unary calls.
func (l *ControlClient) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		_ = l.conn.Close()
		l.conn = nil
	}
}

// sharedConn returns the connection for unary calls and opens it if necessary.
// If the instance cannot be reached, the next call tries the next instance.
func (l *ControlClient) sharedConn(c context.Context) (drpc.Conn, error) {
	l.mu.Lock()
	conn, a := l.conn, l.addrs[l.currentAddr]
	l.mu.Unlock()
	if conn != nil {
		return conn, nil
	}
	conn, err := l.dialer.dial(c, a)
	l.mu.Lock()
	defer l.mu.Unlock()
	if err != nil {
		l.currentAddr = (l.currentAddr + 1) % len(l.addrs)
		return nil, err
	}
	if l.conn != nil {
		// Another call has connected meanwhile.
		_ = conn.Close()
		return l.conn, nil
	}
	l.conn, l.connAddr = conn, a
	return conn, nil
}

// discardConn closes a connection on which a call failed. It switches to the next
// instance unless another call has already done so. It returns the address of the
// shared connection for the error.
func (l *ControlClient) discardConn(conn drpc.Conn) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = conn.Close()
	if l.conn == conn {
		l.conn = nil
		l.currentAddr = (l.currentAddr + 1) % len(l.addrs)
	}
	return l.connAddr.String()
}
