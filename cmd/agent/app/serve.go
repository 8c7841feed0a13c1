package app

import (
	"net/http"
	"net/netip"
	"time"

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
		if err := a.run(w, r, s); err != nil {
			a.counters.refuse(balsampier.KindOf(err).String())
			caller.WriteRefusal(w, err, retryAfter)
		}
	}
}

func (a *Agent) run(w http.ResponseWriter, r *http.Request, s netip.AddrPort) error {
	v := a.server.Load()
	q, err := caller.ReadRequest(r, v.Service, a.clock.Now())
	if err != nil {
		return err
	}
	if v.Draining || a.stopping.Load() {
		return balsampier.NewError(balsampier.KindNotRun, "run request", "connect again to reach another server", nil)
	}
	k := a.kind(r)
	q.Class = a.class(k, q, s)
	if k.Stream {
		return a.stream(w, r, v)
	}
	done, err := a.admission.admit(r.Context(), q)
	if err != nil {
		return err
	}
	defer done()
	t := &backend.Attempt{Gate: a.gate(r), Once: !idempotent(r.Method)}
	return v.proxy.Forward(w, r, t)
}

// stream forwards a long answer, which takes a connection and no slot.
func (a *Agent) stream(w http.ResponseWriter, r *http.Request, v *announced) error {
	defer a.streams.Add(-1)
	if a.streams.Add(1) > int64(v.Connections) {
		return balsampier.NewError(balsampier.KindNotRun, "take stream", "connect again to reach another server", nil)
	}
	return v.proxy.Forward(w, r, &backend.Attempt{Gate: a.gate(r), Once: !idempotent(r.Method)})
}

// gate is asked right before the first byte goes to the backend server.
func (a *Agent) gate(r *http.Request) func() error {
	return func() error {
		if err := r.Context().Err(); err != nil {
			return balsampier.NewError(balsampier.KindNotRun, "start request", "send it again", err)
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
