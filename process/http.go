package process

import (
	"net"
	"net/http"
	"net/url"
	"time"

	khttp "github.com/go-kratos/kratos/v2/transport/http"
)

const (
	// headerTimeout bounds how long a client may take to send its headers.
	headerTimeout = 5 * time.Second
	// bodyTimeout bounds how long a client may take to send a whole request.
	bodyTimeout = 30 * time.Second
	// idleTimeout bounds how long an idle connection stays open.
	idleTimeout = 2 * time.Minute
	// maxHeaderBytes bounds the size of the headers of a request.
	maxHeaderBytes = 16 << 10
)

// NewHTTPServer returns a server on l that closes the connections of clients that
// send slowly or not at all.
func NewHTTPServer(l net.Listener) *khttp.Server {
	o := []khttp.ServerOption{khttp.Listener(l), khttp.Timeout(0), khttp.NotFoundHandler(http.NotFoundHandler())}
	if l != nil {
		// If no endpoint is set, kratos searches the network interfaces for an
		// address, and not every machine lists them.
		o = append(o, khttp.Endpoint(&url.URL{Scheme: "http", Host: l.Addr().String()}))
	}
	s := khttp.NewServer(o...)
	s.ReadHeaderTimeout = headerTimeout
	s.ReadTimeout = bodyTimeout
	s.IdleTimeout = idleTimeout
	s.MaxHeaderBytes = maxHeaderBytes
	return s
}
