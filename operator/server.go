// Package operator speaks HTTP to operators and their tools. It decides
// nothing.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"net"
	"net/http"
	"strings"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
)

const bearer = "Bearer "

type (
	// Server is the operators' port of a process.
	Server struct {
		*khttp.Server
		key []byte
	}

	// ErrorBody is the answer to a request that failed.
	ErrorBody struct {
		// Kind is the name of a balsampier.Kind.
		Kind string `json:"kind"`
		// Message names the remedy.
		Message string `json:"message"`
		// Problems are the faults of a rule file.
		Problems []balsampier.Problem `json:"problems,omitempty"`
	}
)

// NewServer returns a server on l. dump returns the state of the process and
// ready an error while traffic must not come.
func NewServer(l net.Listener, key []byte, dump func() any, ready func() error) *Server {
	s := &Server{Server: khttp.NewServer(khttp.Listener(l), khttp.Timeout(0)), key: key}
	s.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, "ok") })
	s.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, "ready")
	})
	s.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	s.HandlePrivate("/dump", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, dump()) })
	return s
}

// HandlePrivate adds a handler that only operators with the key reach.
func (s *Server) HandlePrivate(path string, h http.HandlerFunc) {
	s.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		k := strings.TrimPrefix(r.Header.Get("Authorization"), bearer)
		if subtle.ConstantTimeCompare([]byte(k), s.key) != 1 {
			WriteError(w, balsampier.NewError(balsampier.KindUnauthenticated, "check the operator's key",
				"give the key file of this system with --key-file", nil))
			return
		}
		h(w, r)
	})
}

// WriteJSON answers with v.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// WriteError answers with a typed error.
func WriteError(w http.ResponseWriter, err error, ps ...balsampier.Problem) {
	k := balsampier.KindOf(err)
	WriteJSON(w, status(k), ErrorBody{Kind: k.String(), Message: err.Error(), Problems: ps})
}

func status(k balsampier.Kind) int {
	switch k {
	case balsampier.KindInvalid:
		return http.StatusUnprocessableEntity
	case balsampier.KindConflict:
		return http.StatusConflict
	case balsampier.KindUnauthenticated:
		return http.StatusUnauthorized
	case balsampier.KindUnavailable, balsampier.KindNotLeader, balsampier.KindFull, balsampier.KindClosed:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
