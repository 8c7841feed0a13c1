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
	// dialFirst is how long the first attempt to connect may take: a few round
	// trips between regions. A machine without power does not answer, and
	// there are other control instances.
	dialFirst = 250 * time.Millisecond
	// dialMost is how long a later one may take. The kernel repeats a lost
	// opening packet after a second.
	dialMost = 1500 * time.Millisecond
	// dialTries is how many attempts in turn fail until the next ones may take
	// twice as long: most fail because one instance is down.
	dialTries = 4
)

// dialer opens connections and waits longer after each failure in turn.
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
	w := dialFirst
	for n := d.failures.Load(); n >= dialTries && w < dialMost; n -= dialTries {
		w *= 2
	}
	return min(w, dialMost)
}
