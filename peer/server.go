package peer

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/peer/peerpb"
)

const (
	// maxMessageBytes bounds one message of a peer.
	maxMessageBytes = 16 << 20
	// idleTimeout is how long a connection may stay without a call.
	idleTimeout = time.Minute
)

type (
	// ControlHandler answers the calls that members make.
	ControlHandler interface {
		// Renew extends the lease of a member.
		Renew(c context.Context, r balsampier.Renewal) (balsampier.Lease, error)
		// Leave ends the lease of a member that has stopped.
		Leave(c context.Context, h balsampier.Holder) error
		// Watch calls send with each message until c ends.
		Watch(c context.Context, w balsampier.WatchRequest, send func(balsampier.WatchMessage) error) error
	}

	// Server serves drpc on the peers' port. It implements the server
	// interface of kratos.
	Server struct {
		l   net.Listener
		mux *drpcmux.Mux
		// stop is closed by Stop.
		stop chan struct{}
	}

	controlServer struct {
		key Key
		h   ControlHandler
		// texts are those of the watch streams.
		texts packer
	}
)

// NewServer returns a server on l without services.
func NewServer(l net.Listener) *Server {
	return &Server{l: l, mux: drpcmux.New(), stop: make(chan struct{})}
}

// AddControl adds the services of control.
func (s *Server) AddControl(k Key, h ControlHandler) error {
	v := &controlServer{key: k, h: h}
	if err := peerpb.DRPCRegisterControlCommand(s.mux, v); err != nil {
		return trace.Wrap(err)
	}
	return trace.Wrap(peerpb.DRPCRegisterControlQuery(s.mux, v))
}

// Start serves until Stop.
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
	err := drpcserver.NewWithOptions(s.mux, o).Serve(c, s.l)
	if c.Err() != nil {
		return nil
	}
	return trace.Wrap(err, "serve peers")
}

// Stop ends the server.
func (s *Server) Stop(context.Context) error {
	close(s.stop)
	return nil
}

// Renew implements the drpc service.
func (s *controlServer) Renew(c context.Context, q *peerpb.RenewRequest) (*peerpb.RenewResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	l, err := s.h.Renew(c, balsampier.Renewal{
		Member: member(q.GetMember()), AppliedRevision: balsampier.Revision(q.GetApplied()),
		AcknowledgedEpoch: balsampier.Epoch(q.GetAcknowledged()), CompleteEpoch: balsampier.Epoch(q.GetComplete()),
		GroupEpoch: balsampier.Epoch(q.GetGroup()),
	})
	if err != nil {
		return nil, encodeError(err)
	}
	return &peerpb.RenewResponse{
		TermNanos: l.TTL.Nanoseconds(), Epoch: uint64(l.Epoch), Active: uint64(l.Active), Claims: putClaimState(l.Claims),
	}, nil
}

// Leave implements the drpc service.
func (s *controlServer) Leave(c context.Context, q *peerpb.LeaveRequest) (*peerpb.LeaveResponse, error) {
	if err := s.key.check(c); err != nil {
		return nil, err
	}
	return &peerpb.LeaveResponse{}, encodeError(s.h.Leave(c, holder(q.GetHolder())))
}

// Watch implements the drpc service.
func (s *controlServer) Watch(q *peerpb.WatchRequest, m peerpb.DRPCControlQuery_WatchStream) error {
	if err := s.key.check(m.Context()); err != nil {
		return err
	}
	w := balsampier.WatchRequest{
		Member: member(q.GetMember()),
		Position: balsampier.WatchPosition{
			Revision: balsampier.Revision(q.GetRevision()), Epoch: balsampier.Epoch(q.GetEpoch()),
		},
	}
	return encodeError(s.h.Watch(m.Context(), w, func(u balsampier.WatchMessage) error {
		p, err := putWatchMessage(u, &s.texts)
		if err != nil {
			return err
		}
		return trace.Wrap(m.Send(p))
	}))
}
