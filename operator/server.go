// Package operator implements the HTTP API for operators: the server side that
// each process listens with, and the client. It encodes and decodes messages
// only; all decisions are made by the commands and queries behind it.
package operator

import (
	"crypto/subtle"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"github.com/VictoriaMetrics/metrics"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/process"
)

const (
	bearerPrefix = "Bearer "
	// maxSmallBodyBytes limits request bodies that carry no rule file.
	maxSmallBodyBytes = 4 << 10
)

type (
	// Server is the HTTP server for operators of a process.
	Server struct {
		*khttp.Server
		// key is the bearer token of operators.
		key []byte
	}

	// ErrorBody is the response body of a request that failed.
	ErrorBody struct {
		// Kind is the name of a balsampier.Kind.
		Kind string `json:"kind"`
		// Message describes the error and how to resolve it.
		Message string `json:"message"`
		// Problems are the problems of a refused rule file.
		Problems []Problem `json:"problems,omitempty"`
	}
)

// NewServer returns a server that listens on l. dump returns the internal state
// of the process; ready returns an error while the process must not receive
// traffic. Clients authenticate with key, but for health checks and metrics.
func NewServer(l net.Listener, key []byte, dump func() any, ready func() error) *Server {
	s := &Server{Server: process.NewHTTPServer(l), key: key}
	s.handlePublic("/healthz", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, "ok") })
	s.handlePublic("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			WriteError(w, err)
			return
		}
		WriteJSON(w, http.StatusOK, "ready")
	})
	s.handlePublic("/metrics", func(w http.ResponseWriter, _ *http.Request) { metrics.WritePrometheus(w, true) })
	s.HandlePrivate("/dump", func(w http.ResponseWriter, _ *http.Request) { WriteJSON(w, http.StatusOK, dump()) }, http.MethodGet)
	return s
}

// HandlePrivate adds a handler for the given methods. Requests without the key
// are refused before the method is checked.
func (s *Server) HandlePrivate(path string, h http.HandlerFunc, methods ...string) {
	s.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if !s.hasValidKey(r) {
			WriteError(w, balsampier.NewError(balsampier.KindUnauthenticated, "check the operator's key",
				"give the key file of this system with --key-file", nil))
			return
		}
		if !slices.Contains(methods, r.Method) {
			writeMethodNotAllowed(w, methods)
			return
		}
		h(w, r)
	})
}

// handlePublic adds a read-only handler that needs no key.
func (s *Server) handlePublic(path string, h http.HandlerFunc) {
	s.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet && r.Method != http.MethodHead {
			writeMethodNotAllowed(w, []string{http.MethodGet})
			return
		}
		h(w, r)
	})
}

// hasValidKey reports whether r carries the key. It compares in constant time.
func (s *Server) hasValidKey(r *http.Request) bool {
	k, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
	return subtle.ConstantTimeCompare([]byte(k), s.key) == 1 && ok
}

func writeMethodNotAllowed(w http.ResponseWriter, methods []string) {
	w.Header().Set("Allow", strings.Join(methods, ", "))
	WriteJSON(w, http.StatusMethodNotAllowed, ErrorBody{
		Kind: balsampier.KindInvalid.String(), Message: "use " + strings.Join(methods, " or "),
	})
}

// readJSON decodes the body of r, of at most n bytes, into v. It refuses
// unknown fields and anything after the first value.
func readJSON(w http.ResponseWriter, r *http.Request, n int64, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, n))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.Decode(&struct{}{}) != io.EOF {
		err = errors.New("more than one value")
	}
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "read body", "send the documented fields as one JSON object", err)
	}
	return nil
}

// WriteJSON writes a response with the given HTTP status and v as JSON.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(v)
}

// WriteError writes an error response. Its HTTP status follows from the kind of
// err; ps are the problems of a refused rule file.
func WriteError(w http.ResponseWriter, err error, ps ...balsampier.Problem) {
	k := balsampier.KindOf(err)
	WriteJSON(w, httpStatus(k), ErrorBody{Kind: k.String(), Message: err.Error(), Problems: encodeProblems(ps)})
}

func httpStatus(k balsampier.Kind) int {
	switch k {
	case balsampier.KindInvalid:
		return http.StatusUnprocessableEntity
	case balsampier.KindConflict:
		return http.StatusConflict
	case balsampier.KindUnauthenticated:
		return http.StatusUnauthorized
	case balsampier.KindUnknown:
		return http.StatusGatewayTimeout
	case balsampier.KindUnavailable, balsampier.KindNotLeader, balsampier.KindFull, balsampier.KindClosed:
		return http.StatusServiceUnavailable
	default:
		return http.StatusInternalServerError
	}
}
