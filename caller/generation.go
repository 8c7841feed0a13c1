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
	// idleCloseDelay is how long a connection of a draining generation has to
	// be idle before it is closed. It leaves time to retransmit the end of the
	// last response.
	idleCloseDelay = 5 * time.Second

	// goAwayDelay is how long callers have at least to react to GOAWAY before
	// their connection is closed.
	goAwayDelay = time.Second

	closeReason = "connect again to reach another server"
)

type (
	// generation serves the connections that were accepted between two calls
	// of DrainConnections.
	generation struct {
		server *http3.Server
		clock  balsampier.Clock
		// pendingConns counts connections that the server has not registered
		// yet. None is added once draining is true.
		pendingConns sync.WaitGroup
		// openConns counts the elements of conns, so that the end of a drain can
		// wait until the last connection is removed.
		openConns sync.WaitGroup

		mu sync.Mutex
		// conns holds the open connections.
		conns map[*quic.Conn]*usage
		// draining is true once the callers are asked to go away.
		draining bool
	}

	// usage tracks the requests of one connection. It is guarded by the mu of
	// its generation.
	usage struct {
		conn    *quic.Conn
		running int
		// idleSince is when the last request ended, or the start of the
		// connection before its first request ends.
		idleSince time.Time
		// closeTimer closes the connection. It is nil while no close is
		// scheduled.
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

// serve serves the requests of a connection until it ends. It returns false,
// without serving any, if the generation is draining.
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

// drainAndWait sends GOAWAY to callers, closes connections once they are idle, and
// waits until none is left or c ends.
func (g *generation) drainAndWait(c context.Context) error {
	g.startDraining()
	if err := g.server.Shutdown(c); err != nil {
		return err
	}
	// All connections have ended; they are removed by threads of their own.
	g.openConns.Wait()
	return nil
}

// close closes all connections at once.
func (g *generation) close() {
	g.startDraining()
	_ = g.server.Close()
}

// startDraining schedules the close of idle connections. It returns once the
// server has registered every connection, because the server must not be shut
// down before.
func (g *generation) startDraining() {
	g.mu.Lock()
	wasDraining := g.draining
	g.draining = true
	g.mu.Unlock()
	g.pendingConns.Wait()
	if wasDraining {
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
	g.openConns.Add(1)
	context.AfterFunc(q.Context(), func() {
		defer g.openConns.Done()
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

// scheduleClose closes the connection after a delay, unless a request begins
// before. The caller holds mu.
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
