// Package fabric receives callers' datagrams from the network fabric and sends
// responses back through it. It makes no decisions.
package fabric

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// MaxDatagramBytes is how much of a datagram is read; the rest is cut off.
	MaxDatagramBytes = 2048

	// socketBufferBytes is the size requested for the receive and the send
	// buffer of each socket. The kernel may grant less.
	socketBufferBytes = 4 << 20

	// maxFailedReads is how many reads may fail in a row, retryInterval apart,
	// before the fault counts as permanent.
	maxFailedReads = 500
	retryInterval  = 10 * time.Millisecond
)

type (
	// Datagram is one received datagram.
	Datagram struct {
		// Caller is the source address, and ServiceAddr the service address
		// that the datagram was sent to.
		Caller, ServiceAddr netip.AddrPort
		// Payload belongs to the owner of the datagram until Free is called.
		Payload []byte
		// At is when the datagram was received.
		At time.Time
		// buf backs Payload. It is nil if Payload is not from the pool.
		buf *[MaxDatagramBytes]byte
	}

	// Socket receives and sends the datagrams of one service address.
	Socket struct {
		conn    *net.UDPConn
		service netip.AddrPort
		clock   balsampier.Clock
	}
)

var bufferPool = sync.Pool{New: func() any { return new([MaxDatagramBytes]byte) }}

// Listen binds a socket for the service address. bind is the local address; it
// differs from service where the fabric rewrites destinations.
func Listen(service, bind netip.AddrPort, k balsampier.Clock) (*Socket, error) {
	c, err := ListenUDP(bind)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: c, service: service, clock: k}, nil
}

// ListenUDP binds a UDP socket and requests large buffers for it.
func ListenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindInvalid, "bind UDP "+a.String(),
			"stop the process that uses the address, or change it in the settings", err)
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	return c, nil
}

// Service returns the service address of the socket.
func (s *Socket) Service() netip.AddrPort { return s.service }

// Receive calls f with each datagram until c ends or f returns an error. f owns
// the datagram and has to free it. A failed read is repeated, because the next
// one may succeed; only a closed socket or maxFailedReads in a row end Receive.
func (s *Socket) Receive(c context.Context, f func(Datagram) error) error {
	stop := context.AfterFunc(c, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	failed := 0
	for {
		b := bufferPool.Get().(*[MaxDatagramBytes]byte)
		n, a, err := s.conn.ReadFromUDPAddrPort(b[:])
		if c.Err() != nil {
			return c.Err()
		}
		if err != nil {
			bufferPool.Put(b)
			if failed++; failed >= maxFailedReads || errors.Is(err, net.ErrClosed) {
				return trace.Wrap(err, "receive datagrams for %s", s.service)
			}
			s.pause(c)
			continue
		}
		failed = 0
		d := Datagram{
			Caller:      netip.AddrPortFrom(a.Addr().Unmap(), a.Port()),
			ServiceAddr: s.service, Payload: b[:n], At: s.clock.Now(), buf: b,
		}
		if err := f(d); err != nil {
			return err
		}
	}
}

// pause waits for retryInterval or until c ends.
func (s *Socket) pause(c context.Context) {
	t := s.clock.NewTimer(retryInterval)
	defer t.Stop()
	select {
	case <-t.C():
	case <-c.Done():
	}
}

// Send sends p from the service address to the caller.
func (s *Socket) Send(p []byte, caller netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(p, caller)
	return trace.Wrap(err, "send datagram to caller")
}

// Close closes the socket and ends Receive with an error.
func (s *Socket) Close() error { return trace.Wrap(s.conn.Close()) }

// Free returns the buffer to the pool. The payload must not be used afterwards.
func (d Datagram) Free() {
	if d.buf != nil {
		bufferPool.Put(d.buf)
	}
}
