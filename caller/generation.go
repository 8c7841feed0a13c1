package caller

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/balsampier/balsampier"
)

const (
	// idleCloseDelay is how long a connection must be without a request
	// before it is closed in a turn-away. It leaves time to send the end of
	// the last answer again.
	idleCloseDelay = 5 * time.Second

	// goAwayDelay is how long callers may take to act on a GOAWAY.
	goAwayDelay = time.Second

	closeReason = "connect again to reach another server"
)

type (
	// generation serves the connections that were accepted between two
	// turn-aways.
	generation struct {
		server *http3.Server
		clock  balsampier.Clock
		// pendingConns counts connections that the server doesn't count yet; none
		// is added once leaving is true.
		pendingConns sync.WaitGroup

		mu sync.Mutex
		// conns are the open connections.
		conns map[*quic.Conn]*usage
		// draining is true once callers were asked to go away.
		draining bool
	}

	// usage is what runs on one connection; it is guarded by the mu of its
	// generation.
	usage struct {
		conn    *quic.Conn
		running int
		// idleSince is when the last request idleSince, or the connection began.
		idleSince time.Time
		// closeTimer closes the connection; nil while it may be used.
		closeTimer *time.Timer
	}

	usageKey struct{}
)

func newGeneration(h http.Handler, k balsampier.Clock) *generation {
	g := &generation{clock: k, conns: make(map[*quic.Conn]*usage)}
	g.server = &http3.Server{
		ConnContext: func(c context.Context, q *quic.Conn) context.Context {
			defer g.pendingConns.Done()
			return context.WithValue(c, usageKey{}, g.addConn(q))
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			u := r.Context().Value(usageKey{}).(*usage)
			g.beginRequest(u)
			defer g.endRequest(u)
			h.ServeHTTP(w, r)
		}),
	}
	return g
}

// serve answers the requests of a connection; false without a try once the
// generation is left.
func (g *generation) serve(q *quic.Conn) bool {
	g.mu.Lock()
	if g.draining {
		g.mu.Unlock()
		return false
	}
	g.pendingConns.Add(1)
	g.mu.Unlock()
	_ = g.server.ServeQUICConn(q)
	return true
}

// drain asks callers to go away, closes connections once they are idle, and
// waits until there are none.
func (g *generation) drain(c context.Context) error {
	g.startDraining()
	return g.server.Shutdown(c)
}

// close ends all connections at once.
func (g *generation) close() {
	g.startDraining()
	_ = g.server.Close()
}

// startDraining returns once the server counts every connection: it may not be shut
// down while one is on its way in.
func (g *generation) startDraining() {
	g.mu.Lock()
	left := g.draining
	g.draining = true
	g.mu.Unlock()
	g.pendingConns.Wait()
	if left {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.conns {
		if u.running == 0 && u.closeTimer == nil {
			g.scheduleClose(u)
		}
	}
}

func (g *generation) addConn(q *quic.Conn) *usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := &usage{conn: q, idleSince: g.clock.Now()}
	g.conns[q] = u
	context.AfterFunc(q.Context(), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, q)
		if u.closeTimer != nil {
			u.closeTimer.Stop()
		}
	})
	return u
}

func (g *generation) beginRequest(u *usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.running++
	if u.closeTimer != nil {
		u.closeTimer.Stop()
		u.closeTimer = nil
	}
}

func (g *generation) endRequest(u *usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.running--
	u.idleSince = g.clock.Now()
	if g.draining && u.running == 0 {
		g.scheduleClose(u)
	}
}

// scheduleClose is called with mu held.
func (g *generation) scheduleClose(u *usage) {
	d := max(goAwayDelay, idleCloseDelay-g.clock.Now().Sub(u.idleSince))
	u.closeTimer = time.AfterFunc(d, func() {
		g.mu.Lock()
		idle := u.running == 0
		g.mu.Unlock()
		if idle {
			_ = u.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), closeReason)
		}
	})
}

func (g *generation) connectionCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}
