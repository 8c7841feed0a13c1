package caller

import (
	"encoding/json"
	"math"
	"net/http"
	"net/netip"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/balsampier/balsampier"
)

const (
	// HeaderKey carries the key of a request that must run at most once.
	HeaderKey = "Idempotency-Key"
	// HeaderTimeout carries the time-out of the request in seconds.
	HeaderTimeout = "Request-Timeout"
	// HeaderRefusal marks a refusal, and so distinguishes it from a response of
	// a backend server.
	HeaderRefusal = "Balsampier-Refusal"

	// HeaderReason carries the reason of a refusal.
	HeaderReason = "Balsampier-Reason"

	// HeaderStored marks a stored response, which an earlier attempt of the
	// request got.
	HeaderStored = "Balsampier-Stored"

	headerRetryAfter   = "Retry-After"
	problemContentType = "application/problem+json"
)

// problem is the body of a refusal (RFC 9457).
type problem struct {
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Refusal string `json:"refusal"`
	// Reason is empty if there is nothing to add to Refusal.
	Reason string `json:"reason,omitempty"`
}

// ReadRequest returns the properties of a request that admission needs. Errors
// have KindInvalid.
func ReadRequest(r *http.Request, s balsampier.ServiceName, t time.Time) (balsampier.Request, error) {
	q := balsampier.Request{Service: s, At: t}
	if a, err := netip.ParseAddrPort(r.RemoteAddr); err == nil {
		q.Caller = a.Addr().Unmap()
	}
	if h := r.Header.Get(HeaderKey); h != "" {
		k, err := uuid.Parse(h)
		if err != nil || k.Version() != 7 {
			return q, balsampier.NewError(balsampier.KindInvalid, "read "+HeaderKey, "send a UUIDv7 as its value", err)
		}
		q.Key = k
	}
	if h := r.Header.Get(HeaderTimeout); h != "" {
		s, err := strconv.ParseFloat(h, 64)
		if err != nil || !(s > 0) || s > math.MaxInt32 {
			return q, balsampier.NewError(balsampier.KindInvalid, "read "+HeaderTimeout, "send a positive number of seconds", err)
		}
		q.Deadline = t.Add(time.Duration(s * float64(time.Second)))
	}
	return q, nil
}

// WriteRefusal answers a request with the refusal that err describes. Only
// KindInvalid, KindNotRun, KindFull and KindClosed tell the caller that the
// request did not run; other errors leave the outcome unknown. reason may be
// empty, and retryAfter zero.
func WriteRefusal(w http.ResponseWriter, err error, reason string, retryAfter time.Duration) {
	k := balsampier.KindOf(err)
	p := problem{
		Title: "request refused", Detail: err.Error(), Status: http.StatusServiceUnavailable,
		Refusal: balsampier.KindNotRun.String(), Reason: reason,
	}
	switch k {
	case balsampier.KindInvalid:
		p.Status = http.StatusBadRequest
	case balsampier.KindNotRun, balsampier.KindFull, balsampier.KindClosed:
	default:
		p.Title, p.Status, p.Refusal = "outcome unknown", http.StatusBadGateway, balsampier.KindUnknown.String()
	}
	h := w.Header()
	h.Set("Content-Type", problemContentType)
	h.Set(HeaderRefusal, p.Refusal)
	if reason != "" {
		h.Set(HeaderReason, reason)
	}
	if retryAfter > 0 && k != balsampier.KindInvalid {
		h.Set(headerRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}
