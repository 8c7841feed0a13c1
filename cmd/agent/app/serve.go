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
	// retryAfter is the default delay suggested to callers before a retry.
	retryAfter = time.Second
)

// serve returns the handler of the requests to service address s.
func (a *Agent) serve(s netip.AddrPort) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, r *http.Request) {
		v := a.server.Load()
		q, err := caller.ReadRequest(r, v.Service, a.clock.Now())
		if err != nil {
			a.writeRefusal(w, q, newRefusal(reasonInvalid, 0, err))
			return
		}
		k := a.requestKind(r)
		q.Class = a.requestClass(k, q, s)
		if err := a.runRequest(w, r, v, k, q); err != nil {
			a.writeRefusal(w, q, err)
		}
	}
}

// runRequest runs a request or returns a refusal.
func (a *Agent) runRequest(w http.ResponseWriter, r *http.Request, v *announcedServer, k RequestKind, q balsampier.Request) error {
	switch once := !idempotent(r.Method); {
	case once && q.Key != uuid.Nil:
		// A resend may have run before, so only the thread that knows the
		// outcome may refuse it.
		return a.serveKeyed(w, r, v, q)
	case v.Draining || a.stopping.Load():
		return newRefusal(reasonDraining, retryAfter, balsampier.NewError(balsampier.KindNotRun, "run request", "connect again to reach another server", nil))
	default:
		return a.servePlain(w, r, v, k, q)
	}
}

// servePlain runs a request that is idempotent or has no key.
func (a *Agent) servePlain(w http.ResponseWriter, r *http.Request, v *announcedServer, k RequestKind, q balsampier.Request) error {
	s, err := a.admission.admit(r.Context(), q)
	if err != nil {
		return err
	}
	o := &recorder{ResponseWriter: w}
	defer func() { s.release(o.shed() && !k.Stream) }()
	if k.Stream {
		defer a.streams.Add(-1)
		if a.streams.Add(1) > int64(v.Connections) || !s.convertToStream() {
			return newRefusal(reasonConnections, retryAfter, balsampier.NewError(balsampier.KindNotRun, "open stream", "connect again to reach another server", nil))
		}
	}
	return v.proxy.Forward(o, r, &backend.Attempt{BeforeSend: callerGate(r)})
}

// callerGate returns a gate that refuses a request whose caller has
// disconnected.
func callerGate(r *http.Request) func() error {
	return func() error {
		if err := r.Context().Err(); err != nil {
			return newRefusal(reasonCallerGone, 0, balsampier.NewError(balsampier.KindNotRun, "start request", "send it again", err))
		}
		return nil
	}
}

// requestKind returns the first kind that matches the request.
func (a *Agent) requestKind(r *http.Request) RequestKind {
	for _, k := range a.settings.Requests {
		if k.matches(r.Method, r.URL.Path) {
			return k
		}
	}
	return RequestKind{}
}

// requestClass returns the class of the kind, or else that of the rule in
// force.
func (a *Agent) requestClass(k RequestKind, q balsampier.Request, s netip.AddrPort) balsampier.Class {
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
