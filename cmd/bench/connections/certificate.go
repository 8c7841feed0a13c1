package connections

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/balsampier/balsampier/cmd/bench/local"
)

const (
	validity = time.Hour
	filePerm = 0o600
)

// certificateFiles holds the paths of a self-signed certificate and its key.
type certificateFiles struct{ cert, key string }

// write creates a key and a certificate for local.Addr that is valid for an
// hour before and after t, and writes both as PEM.
func (p certificateFiles) write(t time.Time) error {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return trace.Wrap(err)
	}
	x := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: t.Add(-validity), NotAfter: t.Add(validity),
		IsCA: true, BasicConstraintsValid: true,
	}
	x.IPAddresses = append(x.IPAddresses, local.Addr.Addr().AsSlice())
	c, err := x509.CreateCertificate(rand.Reader, x, x, &k.PublicKey, k)
	if err != nil {
		return trace.Wrap(err)
	}
	s, err := x509.MarshalECPrivateKey(k)
	if err != nil {
		return trace.Wrap(err)
	}
	if err := os.WriteFile(p.cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: c}), filePerm); err != nil {
		return trace.ConvertSystemError(err)
	}
	b := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: s})
	return trace.ConvertSystemError(os.WriteFile(p.key, b, filePerm))
}
