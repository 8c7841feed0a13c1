package peer

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/duty"
	"github.com/balsampier/balsampier/peer/peerpb"
)

const (
	// maxMessageBytes bounds one message that a peer sends.
	maxMessageBytes = 16 << 20
	// idleTimeout is how long a connection without a call stays open.
	idleTimeout = time.Minute
)

type (
	// ControlHandler serves the calls that members make to control.
	ControlHandler interface {
		// Renew extends the lease of a member.
		Renew(c context.Context, r balsampier.Renewal) (balsampier.Lease, error)
		// Leave ends the lease of a member that has stopped.
		Leave(c context.Context, h balsampier.Holder) error
		// Watch calls send with each message until c ends.
		Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error
	}

	// Server serves drpc calls on the peer port. It implements the kratos
	// transport.Server interface.
	Server struct {
		tcpListener net.Listener
		mux         *drpcmux.Mux
		// stop is closed by Stop.
		stop chan struct{}
	}

	// protectedHandler turns a panic of a call into an error of the call.
	protectedHandler struct{ drpc.Handler }

	controlServer struct {
		key        Key
		rpcHandler ControlHandler
		// compressor is shared by all watch streams.
		compressor textCompressor
	}
)

// NewServer returns a server on l without any service.
func NewServer(l net.Listener) *Server {
	return &Server{tcpListener: l, mux: drpcmux.New(), stop: make(chan struct{})}
}

// AddControl registers the services that members call.
func (s *Server) AddControl(k Key, h ControlHandler) error {
	v := &controlServer{key: k, rpcHandler: h}
	if err := peerpb.DRPCRegisterControlCommand(s.mux, v); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(peerpb.DRPCRegisterControlQuery(s.mux, v))
}

// Start serves until Stop is called or c ends.
func (s *Server) Start(c context.Context) error {
	c, cancel := context.WithCancel(c)
	defer cancel()
	go func() {
		select {
		case <-s.stop:
			cancel()
		case <-c.Done():
		}
	}()
	o := drpcserver.Options{Manager: drpcmanager.Options{
		Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}, InactivityTimeout: idleTimeout,
	}}
	err := drpcserver.NewWithOptions(protectedHandler{s.mux}, o).Serve(c, s.tcpListener)
	if c.Err() != nil {
		return nil
	}
	return trace.Wrap(err, "serve peers")
}

// HandleRPC implements drpc.Handler.
func (h protectedHandler) HandleRPC(s drpc.Stream, rpc string) error {
	return encodeError(duty.Protect("handle "+rpc, func() error { return h.Handler.HandleRPC(s, rpc) }))
}

// Stop makes Start return. It must be called only once.
func (s *Server) Stop(context.Context) error {
	close(s.stop)
	return nil
}

// Renew implements the generated drpc server interface.
func (s *controlServer) Renew(c context.Context, q *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	l, err := s.rpcHandler.Renew(c, balsampier.Renewal{
		Member: decodeMember(q.GetMember()), AppliedRevision: balsampier.Revision(q.GetApplied()),
		AcknowledgedEpoch: balsampier.Epoch(q.GetAcknowledged()), CompleteEpoch: balsampier.Epoch(q.GetComplete()),
		GroupEpoch: balsampier.Epoch(q.GetGroup()),
	})
	if err != nil {
		return nil, encodeError(err)
	}
	return &peerpb.RenewResponse{
		TermNanos: l.TTL.Nanoseconds(), Epoch: uint64(l.Epoch), Active: uint64(l.Active), Claims: encodeClaimState(l.Claims),
	}, nil
}

// Leave implements the generated drpc server interface.
func (s *controlServer) Leave(c context.Context, q *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	if err := s.key.verifyProof(c); err != nil {
		return nil, err
	}
	return &peerpb.LeaveResponse{}, encodeError(s.rpcHandler.Leave(c, decodeHolder(q.GetHolder())))
}

// Watch implements the generated drpc server interface.
func (s *controlServer) Watch(q *peerpb.WatchRequest, m peerpb.DRPCControlQuery_WatchStream) error {
	if err := s.key.verifyProof(m.Context()); err != nil {
		return err
	}
	w := balsampier.WatchRequest{
		Member: decodeMember(q.GetMember()),
		Position: balsampier.WatchPosition{
			Revision: balsampier.Revision(q.GetRevision()), Epoch: balsampier.Epoch(q.GetEpoch()),
		},
	}
	return encodeError(s.rpcHandler.Watch(m.Context(), w, func(u balsampier.WatchMessage) error {
		p, err := encodeWatchMessage(u, &s.compressor)
		if err != nil {
			return err
		}
		return trace.Wrap(m.Send(p))
	}))
}
