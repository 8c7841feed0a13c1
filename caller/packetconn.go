package caller

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/ring"
)

type (
	// inboundDatagram is one datagram that the QUIC library has not read yet.
	inboundDatagram struct {
		from    netip.AddrPort
		payload []byte
	}

	// packetConn is the net.PacketConn of the QUIC library. It reads from a
	// ring and writes with send.
	packetConn struct {
		local   netip.AddrPort
		inbound *ring.Ring[inboundDatagram]
		send    func(p []byte, to netip.AddrPort) error

		mu sync.Mutex
		// ctx is the context of reads. cancel ends the reads that began before
		// the last change of the deadline.
		ctx       context.Context
		cancel    context.CancelFunc
		readBatch [1]inboundDatagram
	}
)

var _ net.PacketConn = (*packetConn)(nil)

func newPacketConn(local netip.AddrPort, depth int, send func([]byte, netip.AddrPort) error) *packetConn {
	c, cancel := context.WithCancel(context.Background())
	return &packetConn{
		local: local, send: send, ctx: c, cancel: cancel,
		inbound: ring.New[inboundDatagram]("caller "+local.String(), depth, ring.DropNewest),
	}
}

// deliver enqueues a datagram for the QUIC library. It keeps the payload.
func (p *packetConn) deliver(c context.Context, b []byte, from netip.AddrPort) error {
	return p.inbound.Push(c, inboundDatagram{from: from, payload: b})
}

// ReadFrom waits for the next datagram. Only one goroutine may call it.
func (p *packetConn) ReadFrom(b []byte) (int, net.Addr, error) {
	p.mu.Lock()
	c := p.ctx
	p.mu.Unlock()
	_, err := p.inbound.Pop(c, p.readBatch[:])
	switch {
	case errors.Is(err, context.Canceled):
		return 0, nil, os.ErrDeadlineExceeded
	case balsampier.KindOf(err) == balsampier.KindClosed:
		return 0, nil, net.ErrClosed
	case err != nil:
		return 0, nil, err
	}
	d := p.readBatch[0]
	p.readBatch[0] = inboundDatagram{}
	return copy(b, d.payload), net.UDPAddrFromAddrPort(d.from), nil
}

// WriteTo sends a packet to a caller.
func (p *packetConn) WriteTo(b []byte, a net.Addr) (int, error) {
	u, ok := a.(*net.UDPAddr)
	if !ok {
		return 0, balsampier.NewError(balsampier.KindInvalid, "send to "+a.String(), "use a UDP address", nil)
	}
	if err := p.send(b, u.AddrPort()); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close closes the ring, which ends all reads.
func (p *packetConn) Close() error {
	p.inbound.Close()
	return nil
}

// LocalAddr returns the service address.
func (p *packetConn) LocalAddr() net.Addr { return net.UDPAddrFromAddrPort(p.local) }

// SetDeadline sets the deadline of reads. Writes never block.
func (p *packetConn) SetDeadline(t time.Time) error { return p.SetReadDeadline(t) }

// SetReadDeadline ends reads at once if t is not zero, and otherwise clears the
// deadline. The QUIC library only sets deadlines in the past.
func (p *packetConn) SetReadDeadline(t time.Time) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cancel()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	if !t.IsZero() {
		p.cancel()
	}
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (p *packetConn) SetWriteDeadline(time.Time) error { return nil }
