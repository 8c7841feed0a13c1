package app

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/backend"
	"github.com/balsampier/balsampier/caller"
)

const (
	// retryAfter is suggested to callers whose request was not admitted.
	retryAfter = time.Second
)

// serve answers the requests that arrive at service address s.
func (a *Agent) serve(s netip.AddrPort) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		v := a.server.Load()
		q, err := caller.ReadRequest(r, v.Service, a.clock.Now())
		if err != nil {
			a.refuse(w, q, refuse(reasonInvalid, 0, err))
			return
		}
		k := a.kind(r)
		q.Class = a.class(k, q, s)
		if err := a.run(w, r, v, k, q); err != nil {
			a.refuse(w, q, err)
		}
	}
}

func (a *Agent) run(w http.ResponseWriter, r *http.Request, v *announced, k RequestKind, q balsampier.Request) error {
	switch once := !idempotent(r.Method); {
	case once && q.Key != uuid.Nil:
		// A resend may have run before: this is refused, if at all, by the one
		// that knows.
		return a.keyed(w, r, v, q)
	case v.Draining || a.stopping.Load():
		return refuse(reasonDraining, retryAfter, balsampier.NewError(balsampier.KindNotRun, "run request", "connect again to reach another server", nil))
	default:
		return a.plain(w, r, v, k, q)
	}
}

// plain runs a request that is idempotent, or that the caller gave no key.
func (a *Agent) plain(w http.ResponseWriter, r *http.Request, v *announced, k RequestKind, q balsampier.Request) error {
	s, err := a.admission.admit(r.Context(), q)
	if err != nil {
		return err
	}
	o := &recorder{ResponseWriter: w}
	defer func() { s.leave(o.shed() && !k.Stream) }()
	if k.Stream {
		defer a.streams.Add(-1)
		if a.streams.Add(1) > int64(v.Connections) || !s.stream() {
			return refuse(reasonConnections, retryAfter, balsampier.NewError(balsampier.KindNotRun, "take stream", "connect again to reach another server", nil))
		}
	}
	return v.proxy.Forward(o, r, &backend.Attempt{BeforeSend: callerGate(r), NoRetry: !idempotent(r.Method)})
}

// callerGate keeps a request from running whose caller has gone.
func callerGate(r *http.Request) func() error {
	return func() error {
		if err := r.Context().Err(); err != nil {
			return refuse(reasonCallerGone, 0, balsampier.NewError(balsampier.KindNotRun, "start request", "send it again", err))
		}
		return nil
	}
}

func (a *Agent) kind(r *http.Request) RequestKind {
	for _, k := range a.s.Requests {
		if k.matches(r.Method, r.URL.Path) {
			return k
		}
	}
	return RequestKind{}
}

func (a *Agent) class(k RequestKind, q balsampier.Request, s netip.AddrPort) balsampier.Class {
	switch k.Class {
	case balsampier.ClassUrgent.String():
		return balsampier.ClassUrgent
	case balsampier.ClassNormal.String():
		return balsampier.ClassNormal
	}
	if u, ok := a.session.State().Table.InForce(s, q.Caller, q.At); ok {
		return u.Class
	}
	return balsampier.ClassNormal
}

func idempotent(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace, http.MethodPut, http.MethodDelete:
		return true
	}
	return false
}
