package peer

import (
	"context"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"
	"storj.io/drpc"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/command/lease"
	"github.com/balsampier/balsampier/command/replicate"
	"github.com/balsampier/balsampier/peer/peerpb"
)

// maxIdleConns bounds the idle connections that an InstanceClient keeps open.
const maxIdleConns = 4

type (
	// ReplicaHandler serves the calls between control instances.
	ReplicaHandler interface {
		// Step processes messages of the replicated log.
		Step(c context.Context, ms []replicate.Message) error
		// PassDigest processes a digest of lease renewals at the leader.
		PassDigest(c context.Context, d lease.Digest) (lease.Receipt, error)
		// ReadIndex returns, at the leader, an index that is not lower than that
		// of any entry committed before the call.
		ReadIndex(c context.Context) (balsampier.Index, error)
	}

	// InstanceClient calls one instance over pooled connections. Each
	// connection carries one call at a time.
	InstanceClient struct {
		key    Key
		addr   netip.AddrPort
		dialer dialer

		mu sync.Mutex
		// idle holds at most maxIdleConns connections that carry no call.
		idle []drpc.Conn
	}

	replicaServer struct {
		key        Key
		rpcHandler ReplicaHandler
	}
)

// NewInstanceClient returns a client of the instance at a.
func NewInstanceClient(k Key, a netip.AddrPort) *InstanceClient {
	return &InstanceClient{key: k, addr: a}
}

// Step sends messages of the replicated log.
func (l *InstanceClient) Step(c context.Context, ms []replicate.Message) error {
	q := &peerpb.StepRequest{}
	for _, m := range ms {
		q.Messages = append(q.Messages, encodeReplicaMessage(m))
	}
	return l.call(c, func(c context.Context, n drpc.Conn) error {
		_, err := peerpb.NewDRPCReplicaCommandClient(n).Step(c, q)
		return err
	})
}

// PassDigest sends a digest of lease renewals to the leader.
func (l *InstanceClient) PassDigest(c context.Context, d lease.Digest) (lease.Receipt, error) {
	var r lease.Receipt
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCReplicaCommandClient(n).PassDigest(c, encodeDigest(d))
		r = decodeReceipt(p)
		return err
	})
	return r, err
}

// Leave notifies the leader that a member has stopped.
func (l *InstanceClient) Leave(c context.Context, h balsampier.Holder) error {
	return l.call(c, func(c context.Context, n drpc.Conn) error {
		_, err := peerpb.NewDRPCControlCommandClient(n).Leave(c, &peerpb.LeaveRequest{Holder: encodeHolder(h)})
		return err
	})
}

// ReadIndex queries the leader for an index that is not lower than that of any
// entry committed before the call.
func (l *InstanceClient) ReadIndex(c context.Context) (balsampier.Index, error) {
	var i balsampier.Index
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCReplicaQueryClient(n).ReadIndex(c, &peerpb.ReadIndexRequest{})
		i = balsampier.Index(p.GetIndex())
		return err
	})
	return i, err
}

// Close closes the idle connections. Calls in flight are not interrupted.
func (l *InstanceClient) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.idle {
		_ = n.Close()
	}
	l.idle = nil
}

// call runs f on a connection, which is reused if the call succeeds. If it
// fails, the idle connections are closed too, because they lead to the same
// process.
func (l *InstanceClient) call(c context.Context, f func(context.Context, drpc.Conn) error) error {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	n, err := l.acquire(c)
	if err != nil {
		return err
	}
	if err := f(l.key.withProof(c), n); err != nil {
		_ = n.Close()
		l.closeIdle()
		return decodeError("call "+l.addr.String(), err)
	}
	l.pushIdle(n)
	return nil
}

func (l *InstanceClient) pushIdle(n drpc.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.idle) < maxIdleConns {
		l.idle = append(l.idle, n)
		return
	}
	_ = n.Close()
}

func (l *InstanceClient) closeIdle() {
	l.mu.Lock()
	ns := l.idle
	l.idle = nil
	l.mu.Unlock()
	for _, n := range ns {
		_ = n.Close()
	}
}

func (l *InstanceClient) acquire(c context.Context) (drpc.Conn, error) {
	if n := l.popIdle(); n != nil {
		return n, nil
	}
	return l.dialer.dial(c, l.addr)
}

// popIdle returns an idle connection that the other end has not closed, or nil.
func (l *InstanceClient) popIdle() drpc.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	for k := len(l.idle); k > 0; k = len(l.idle) {
		n := l.idle[k-1]
		l.idle = l.idle[:k-1]
		select {
		case <-n.Closed():
		default:
			return n
		}
	}
	return nil
}

// AddReplica registers the services that control instances call on each other.
func (s *Server) AddReplica(k Key, h ReplicaHandler) error {
	v := &replicaServer{key: k, rpcHandler: h}
	if err := peerpb.DRPCRegisterReplicaCommand(s.mux, v); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(peerpb.DRPCRegisterReplicaQuery(s.mux, v))
}

// Step implements the generated drpc server interface.
func (s *replicaServer) Step(c context.Context, q *peerpb.StepRequest) (*peerpb.StepResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	ms := make([]replicate.Message, 0, len(q.GetMessages()))
	for _, m := range q.GetMessages() {
		ms = append(ms, decodeReplicaMessage(m))
	}
	return &peerpb.StepResponse{}, encodeError(s.rpcHandler.Step(c, ms))
}

// PassDigest implements the generated drpc server interface.
func (s *replicaServer) PassDigest(c context.Context, q *peerpb.Digest) (*peerpb.Receipt, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	r, err := s.rpcHandler.PassDigest(c, decodeDigest(q))
	return encodeReceipt(r), encodeError(err)
}

// ReadIndex implements the generated drpc server interface.
func (s *replicaServer) ReadIndex(c context.Context, _ *peerpb.ReadIndexRequest) (*peerpb.ReadIndexResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	i, err := s.rpcHandler.ReadIndex(c)
	return &peerpb.ReadIndexResponse{Index: uint64(i)}, encodeError(err)
}
