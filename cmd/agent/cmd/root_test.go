package cmd

import (
	"crypto/x509"
	"encoding/pem"
	"net/http/httptest"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/process/processtest"
)

const filePerm = 0o600

func TestWrongSettings(t *testing.T) {
	settings := func(d string) string {
		writePair(t, d+"/cert.pem", d+"/key.pem")
		return processtest.Common(d) + "peerAddress: 127.0.0.1:0\nbackendAddress: 127.0.0.1:0\ncontrol: [\"127.0.0.1:7000\"]\n" +
			"certFile: " + d + "/cert.pem\nkeyFile: " + d + "/key.pem\n"
	}
	processtest.Check(t, newRoot, settings, []processtest.Fault{
		{Name: "missing certificate", Old: "/cert.pem", New: "/none.pem", Says: []string{"certFile", "none.pem", "name a readable file"}},
		{Name: "certificate without its key", Old: "/key.pem", New: "/cert.pem", Says: []string{"read certificate", "give a matching pair"}},
		{Name: "broken certificate", Old: "/cert.pem", New: "/operator.key", Says: []string{"read certificate", "operator.key", "give a matching pair"}},
		{Name: "wrong class", New: "requests: [{class: first}]", Says: []string{"requests[0].class", "first"}},
	})
}

// writePair writes the certificate of the library for tests.
func writePair(t *testing.T, cert, key string) {
	c := qt.New(t)
	s := httptest.NewTLSServer(nil)
	defer s.Close()
	p := s.TLS.Certificates[0]
	k, err := x509.MarshalPKCS8PrivateKey(p.PrivateKey)
	c.Assert(err, qt.IsNil)
	for _, f := range []struct {
		path, kind string
		der        []byte
	}{{cert, "CERTIFICATE", p.Certificate[0]}, {key, "PRIVATE KEY", k}} {
		b := pem.EncodeToMemory(&pem.Block{Type: f.kind, Bytes: f.der})
		c.Assert(os.WriteFile(f.path, b, filePerm), qt.IsNil)
	}
}
