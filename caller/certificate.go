package caller

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/balsampier/balsampier"
)

// certificateCheckInterval is how often the files are looked at for a change.
const certificateCheckInterval = time.Second

// Certificate is a certificate in two files, read again when they change.
type Certificate struct {
	certFile, keyFile string
	clock             balsampier.Clock

	mu sync.Mutex
	// cert is the last pair that was read whole; never nil.
	cert *tls.Certificate
	// modifiedAt is the newer modification time of the two files.
	modifiedAt time.Time
	// checkedAt is when the files were last looked at.
	checkedAt time.Time
}

// LoadCertificate reads the pair of files.
func LoadCertificate(certFile, keyFile string, k balsampier.Clock) (*Certificate, error) {
	c := &Certificate{certFile: certFile, keyFile: keyFile, clock: k}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// Config returns settings that always offer the newest certificate.
func (c *Certificate) Config() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, GetCertificate: c.getCertificate}
}

func (c *Certificate) getCertificate(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.clock.Now(); t.Sub(c.checkedAt) >= certificateCheckInterval {
		c.checkedAt = t
		if c.latestModTime().After(c.modifiedAt) {
			// A pair that is half replaced stays out of use until it matches.
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
			"give a matching pair of PEM files; balsampier cert makes one for trials", err)
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
