package caller

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
)

// certificateCheckInterval is the shortest time between two checks of the files
// for a change.
const certificateCheckInterval = time.Second

// Certificate is a TLS certificate and its key in two files. It is reloaded when
// the files change.
type Certificate struct {
	certFile, keyFile string
	clock             balsampier.Clock

	mu sync.Mutex
	// cert is the last valid pair. It is never nil.
	cert *tls.Certificate
	// modifiedAt is the later of the modification times of the two files when
	// cert was read.
	modifiedAt time.Time
	// checkedAt is when the files were last checked for a change.
	checkedAt time.Time
}

// LoadCertificate reads the certificate and its key. It returns an error of
// KindInvalid if they can't be read or don't match.
func LoadCertificate(certFile, keyFile string, k balsampier.Clock) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, clock: k}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Config returns a TLS configuration that offers the newest valid certificate to
// each new connection.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: c.getCertificate}
}

func (c *Certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.clock.Now(); t.Sub(c.checkedAt) >= certificateCheckInterval {
		c.checkedAt = t
		if c.latestModTime().After(c.modifiedAt) {
			// While only one of the files is replaced, the pair does not match and
			// the old certificate stays in use.
			_ = c.load()
		}
	}
	return c.cert, nil
}

func (c *Certificate) load() error {
	m := c.latestModTime()
	p, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "read certificate "+c.certFile,
			"give a matching pair of PEM files; balsampier cert creates one for tests", err)
	}
	c.cert, c.modifiedAt = &p, m
	return nil
}

func (c *Certificate) latestModTime() time.Time {
	var t time.Time
	for _, p := range []string{c.certFile, c.keyFile} {
		if s, err := os.Stat(p); err == nil && s.ModTime().After(t) {
			t = s.ModTime()
		}
	}
	return t
}
