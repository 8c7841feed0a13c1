package peer

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

const (
	// minDialTimeout bounds the first attempts to connect. It covers a few round
	// trips between regions and is short because a powered-off machine never
	// replies and another control instance can be tried instead.
	minDialTimeout = 250 * time.Millisecond
	// maxDialTimeout bounds later attempts. It exceeds one second, after which
	// the kernel retransmits a lost SYN.
	maxDialTimeout = 1500 * time.Millisecond
	// dialFailuresPerDoubling is the number of consecutive failures after which
	// the time-out doubles. It is above one because most failures come from a
	// single instance that is down.
	dialFailuresPerDoubling = 4
)

// dialer opens connections. Its time-out grows with the number of consecutive
// failures, which are counted over all addresses.
type dialer struct{ failures atomic.Int32 }

func (d *dialer) dial(c context.Context, a netip.AddrPort) (drpc.Conn, error) {
	x := net.Dialer{Timeout: d.timeout()}
	n, err := x.DialContext(c, "tcp", a.String())
	if err != nil {
		d.failures.Add(1)
		return nil, decodeError("dial "+a.String(), err)
	}
	d.failures.Store(0)
	return drpcconn.New(n), nil
}

func (d *dialer) timeout() time.Duration {
	w := minDialTimeout
	for n := d.failures.Load(); n >= dialFailuresPerDoubling && w < maxDialTimeout; n -= dialFailuresPerDoubling {
		w *= 2
	}
	return min(w, maxDialTimeout)
}
