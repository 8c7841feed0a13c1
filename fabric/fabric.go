// Package fabric takes callers' datagrams from the fabric and hands answers
// back to it. It decides nothing.
package fabric

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier"
)

const (
	// MaxDatagramBytes bounds what is read of one datagram.
	MaxDatagramBytes = 2048

	// socketBufferBytes is asked of the kernel for each socket, which may
	// grant less.
	socketBufferBytes = 4 << 20
)

type (
	// Datagram is one datagram of a caller.
	Datagram struct {
		// Caller is the source and ServiceAddr the service address.
		Caller, ServiceAddr netip.AddrPort
		// Payload is owned by whoever has the datagram; Free gives it back.
		Payload []byte
		// At is the time of arrival.
		At time.Time
		// buf backs Payload; nil when it is not pooled.
		buf *[MaxDatagramBytes]byte
	}

	// Socket receives the datagrams to one service address.
	Socket struct {
		conn    *net.UDPConn
		service netip.AddrPort
		clock   balsampier.Clock
	}
)

var bufferPool = sync.Pool{New: func() any { return new([MaxDatagramBytes]byte) }}

// Listen binds a socket for the service address. bind differs from service
// where the fabric rewrites destinations.
func Listen(service, bind netip.AddrPort, k balsampier.Clock) (*Socket, error) {
	c, err := ListenUDP(bind)
	if err != nil {
		return nil, err
	}
	return &Socket{conn: c, service: service, clock: k}, nil
}

// ListenUDP binds a UDP socket with large buffers.
func ListenUDP(a netip.AddrPort) (*net.UDPConn, error) {
	c, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(a))
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindInvalid, "bind UDP "+a.String(),
			"stop what uses the address or change it in the settings", err)
	}
	_ = c.SetReadBuffer(socketBufferBytes)
	_ = c.SetWriteBuffer(socketBufferBytes)
	return c, nil
}

// Service returns the service address of the socket.
func (s *Socket) Service() netip.AddrPort { return s.service }

// Receive hands datagrams to f until c ends. f owns the datagram.
func (s *Socket) Receive(c context.Context, f func(Datagram) error) error {
	stop := context.AfterFunc(c, func() { _ = s.conn.SetReadDeadline(time.Unix(1, 0)) })
	defer stop()
	for {
		b := bufferPool.Get().(*[MaxDatagramBytes]byte)
		n, a, err := s.conn.ReadFromUDPAddrPort(b[:])
		if c.Err() != nil {
			return c.Err()
		}
		if err != nil {
			return trace.Wrap(err, "receive for %s", s.service)
		}
		d := Datagram{
			Caller:      netip.AddrPortFrom(a.Addr().Unmap(), a.Port()),
			ServiceAddr: s.service, Payload: b[:n], At: s.clock.Now(), buf: b,
		}
		if err := f(d); err != nil {
			return err
		}
	}
}

// Send sends p from the service address to the caller.
func (s *Socket) Send(p []byte, caller netip.AddrPort) error {
	_, err := s.conn.WriteToUDPAddrPort(p, caller)
	return trace.Wrap(err, "send to caller")
}

// Close closes the socket.
func (s *Socket) Close() error { return trace.Wrap(s.conn.Close()) }

// Free gives the buffer back; the payload must not be used afterwards.
func (d Datagram) Free() {
	if d.buf != nil {
		bufferPool.Put(d.buf)
	}
}
