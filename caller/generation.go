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
	// idleBeforeClose is how long a connection must be without a request
	// before it is closed in a turn-away. It leaves time to send the end of
	// the last answer again.
	idleBeforeClose = 5 * time.Second

	// noticeBeforeClose is how long callers may take to act on a GOAWAY.
	noticeBeforeClose = time.Second

	connectAgain = "connect again to reach another server"
)

type (
	// generation serves the connections that were accepted between two
	// turn-aways.
	generation struct {
		server *http3.Server
		clock  balsampier.Clock
		// entering counts connections that the server doesn't count yet; none
		// is added once leaving is true.
		entering sync.WaitGroup

		mu sync.Mutex
		// conns are the open connections.
		conns map[*quic.Conn]*usage
		// leaving is true once callers were asked to go away.
		leaving bool
	}

	// usage is what runs on one connection; it is guarded by the mu of its
	// generation.
	usage struct {
		conn    *quic.Conn
		running int
		// ended is when the last request ended, or the connection began.
		ended time.Time
		// closing closes the connection; nil while it may be used.
		closing *time.Timer
	}

	usageKey struct{}
)

func newGeneration(h http.Handler, k balsampier.Clock) *generation {
	g := &generation{clock: k, conns: make(map[*quic.Conn]*usage)}
	g.server = &http3.Server{
		ConnContext: func(c context.Context, q *quic.Conn) context.Context {
			defer g.entering.Done()
			return context.WithValue(c, usageKey{}, g.add(q))
		},
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			u := r.Context().Value(usageKey{}).(*usage)
			g.begin(u)
			defer g.finish(u)
			h.ServeHTTP(w, r)
		}),
	}
	return g
}

// serve answers the requests of a connection; false without a try once the
// generation is left.
func (g *generation) serve(q *quic.Conn) bool {
	g.mu.Lock()
	if g.leaving {
		g.mu.Unlock()
		return false
	}
	g.entering.Add(1)
	g.mu.Unlock()
	_ = g.server.ServeQUICConn(q)
	return true
}

// end asks callers to go away, closes connections once they are idle, and
// waits until there are none.
func (g *generation) end(c context.Context) error {
	g.leave()
	return g.server.Shutdown(c)
}

// close ends all connections at once.
func (g *generation) close() {
	g.leave()
	_ = g.server.Close()
}

// leave returns once the server counts every connection: it may not be shut
// down while one is on its way in.
func (g *generation) leave() {
	g.mu.Lock()
	left := g.leaving
	g.leaving = true
	g.mu.Unlock()
	g.entering.Wait()
	if left {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, u := range g.conns {
		if u.running == 0 && u.closing == nil {
			g.closeLater(u)
		}
	}
}

func (g *generation) add(q *quic.Conn) *usage {
	g.mu.Lock()
	defer g.mu.Unlock()
	u := &usage{conn: q, ended: g.clock.Now()}
	g.conns[q] = u
	context.AfterFunc(q.Context(), func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.conns, q)
		if u.closing != nil {
			u.closing.Stop()
		}
	})
	return u
}

func (g *generation) begin(u *usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.running++
	if u.closing != nil {
		u.closing.Stop()
		u.closing = nil
	}
}

func (g *generation) finish(u *usage) {
	g.mu.Lock()
	defer g.mu.Unlock()
	u.running--
	u.ended = g.clock.Now()
	if g.leaving && u.running == 0 {
		g.closeLater(u)
	}
}

// closeLater is called with mu held.
func (g *generation) closeLater(u *usage) {
	d := max(noticeBeforeClose, idleBeforeClose-g.clock.Now().Sub(u.ended))
	u.closing = time.AfterFunc(d, func() {
		g.mu.Lock()
		idle := u.running == 0
		g.mu.Unlock()
		if idle {
			_ = u.conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), connectAgain)
		}
	})
}

func (g *generation) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}
