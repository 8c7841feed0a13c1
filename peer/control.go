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

// maxIdleConns bounds the connections that a Caller keeps open for later calls.
const maxIdleConns = 4

type (
	// ReplicaHandler answers the calls that control instances make.
	ReplicaHandler interface {
		// Step takes messages of the replicated log.
		Step(c context.Context, ms []replicate.Message) error
		// PassDigest takes renewals at the leader.
		PassDigest(c context.Context, d lease.Digest) (lease.Receipt, error)
		// ReadIndex returns an index that covers all that was committed before
		// the call, at the leader.
		ReadIndex(c context.Context) (balsampier.Index, error)
	}

	// InstanceClient calls one instance over connections that it keeps: one for each
	// call that is under way.
	InstanceClient struct {
		key    Key
		addr   netip.AddrPort
		dialer dialer

		mu sync.Mutex
		// idle holds at most maxIdleConns connections without a call.
		idle []drpc.Conn
	}

	replicaServer struct {
		key Key
		h   ReplicaHandler
	}
)

// NewInstanceClient returns a caller of the instance at a.
func NewInstanceClient(k Key, a netip.AddrPort) *InstanceClient { return &InstanceClient{key: k, addr: a} }

// Step sends messages of the replicated log.
func (l *InstanceClient) Step(c context.Context, ms []replicate.Message) error {
	q := &peerpb.StepRequest{}
	for _, m := range ms {
		q.Messages = append(q.Messages, putReplicaMessage(m))
	}
	return l.call(c, func(c context.Context, n drpc.Conn) error {
		_, err := peerpb.NewDRPCReplicaCommandClient(n).Step(c, q)
		return err
	})
}

// PassDigest passes renewals to the leader.
func (l *InstanceClient) PassDigest(c context.Context, d lease.Digest) (lease.Receipt, error) {
	var r lease.Receipt
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCReplicaCommandClient(n).PassDigest(c, putDigest(d))
		r = receipt(p)
		return err
	})
	return r, err
}

// Leave tells the leader that a member has stopped.
func (l *InstanceClient) Leave(c context.Context, h balsampier.Holder) error {
	return l.call(c, func(c context.Context, n drpc.Conn) error {
		_, err := peerpb.NewDRPCControlCommandClient(n).Leave(c, &peerpb.LeaveRequest{Holder: putHolder(h)})
		return err
	})
}

// ReadIndex asks the leader for an index that covers all that is committed.
func (l *InstanceClient) ReadIndex(c context.Context) (balsampier.Index, error) {
	var i balsampier.Index
	err := l.call(c, func(c context.Context, n drpc.Conn) error {
		p, err := peerpb.NewDRPCReplicaQueryClient(n).ReadIndex(c, &peerpb.ReadIndexRequest{})
		i = balsampier.Index(p.GetIndex())
		return err
	})
	return i, err
}

// Close closes the connections without a call. Calls under way end on their
// own.
func (l *InstanceClient) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, n := range l.idle {
		_ = n.Close()
	}
	l.idle = nil
}

// call runs f on a connection, which is kept when the call succeeds. A failed
// call gives up the idle connections too: they lead to the same process.
func (l *InstanceClient) call(c context.Context, f func(context.Context, drpc.Conn) error) error {
	c, cancel := context.WithTimeout(c, callTimeout)
	defer cancel()
	n, err := l.take(c)
	if err != nil {
		return err
	}
	if err := f(l.key.attach(c), n); err != nil {
		_ = n.Close()
		l.closeIdle()
		return decodeError("call "+l.addr.String(), err)
	}
	l.keep(n)
	return nil
}

func (l *InstanceClient) keep(n drpc.Conn) {
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

func (l *InstanceClient) take(c context.Context) (drpc.Conn, error) {
	if n := l.open(); n != nil {
		return n, nil
	}
	return l.dialer.dial(c, l.addr)
}

// open returns an idle connection that the other end did not close, or nil.
func (l *InstanceClient) open() drpc.Conn {
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

// AddReplica adds the services between control instances.
func (s *Server) AddReplica(k Key, h ReplicaHandler) error {
	v := &replicaServer{key: k, h: h}
	if err := peerpb.DRPCRegisterReplicaCommand(s.mux, v); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(peerpb.DRPCRegisterReplicaQuery(s.mux, v))
}

// Step implements the drpc service.
func (s *replicaServer) Step(c context.Context, q *peerpb.StepRequest) (*peerpb.StepResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	ms := make([]replicate.Message, 0, len(q.GetMessages()))
	for _, m := range q.GetMessages() {
		ms = append(ms, replicaMessage(m))
	}
	return &peerpb.StepResponse{}, encodeError(s.h.Step(c, ms))
}

// PassDigest implements the drpc service.
func (s *replicaServer) PassDigest(c context.Context, q *peerpb.Digest) (*peerpb.Receipt, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	r, err := s.h.PassDigest(c, digest(q))
	return putReceipt(r), encodeError(err)
}

// ReadIndex implements the drpc service.
func (s *replicaServer) ReadIndex(c context.Context, _ *peerpb.ReadIndexRequest) (*peerpb.ReadIndexResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	i, err := s.h.ReadIndex(c)
	return &peerpb.ReadIndexResponse{Index: uint64(i)}, encodeError(err)
}
