// Package processtest tests how the command line of a daemon reports invalid
// settings.
package processtest

import (
	"bytes"
	"crypto/x509"
	"encoding/pem"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/process"
)

const (
	// Key is the content of the valid key files.
	Key = "0123456789abcdef0123456789abcdef"

	shortKey         = "0123"
	filePerm         = 0o600
	operatorAddrLine = "operatorAddress: 127.0.0.1:0"
)

// Fault is a test case with one invalid setting.
type Fault struct {
	Name string
	// Old is replaced by New in the settings. If Old is empty, New is appended.
	Old, New string
	// WantInError lists substrings of the error message, which must name the
	// fault and the remedy.
	WantInError []string
}

// Common returns the settings that every daemon requires. The key files are those
// that WriteSecrets writes into the folder d.
func Common(d string) string {
	return "name: one\n" + operatorAddrLine + "\noperatorKeyFile: " + d + "/operator.key\npeerKeyFile: " + d + "/peer.key\n"
}

// WriteSecrets writes operator.key, peer.key, short.key, which is too short to be
// valid, and the certificate of net/http/httptest as cert.pem and key.pem into
// the folder d.
func WriteSecrets(c *qt.C, d string) {
	s := httptest.NewTLSServer(nil)
	defer s.Close()
	p := s.TLS.Certificates[0]
	k, err := x509.MarshalPKCS8PrivateKey(p.PrivateKey)
	c.Assert(err, qt.IsNil)
	for _, f := range []struct {
		name string
		text []byte
	}{
		{"operator.key", []byte(Key)},
		{"peer.key", []byte(Key)},
		{"short.key", []byte(shortKey)},
		{"cert.pem", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: p.Certificate[0]})},
		{"key.pem", pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: k})},
	} {
		c.Assert(os.WriteFile(filepath.Join(d, f.name), f.text, filePerm), qt.IsNil)
	}
}

// Check runs the command with each of the faults fs and with the faults that are
// common to all daemons. It asserts exit code 2, a single error message that
// contains the expected texts but not the key, and that no file is created.
// settings returns valid settings that use the files in folder d.
func Check(t *testing.T, command func() *cobra.Command, settings func(d string) string, fs []Fault) {
	l, err := process.Listen("test", netip.MustParseAddrPort("127.0.0.1:0"))
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = l.Close() }()
	for _, f := range append([]Fault{
		{"unknown setting", "", "colour: red", []string{"colour", "docs/CONFIG.md"}},
		{"no YAML", "", "{", []string{"yaml", "correct the lines named"}},
		{"missing name", "name: one", "", []string{"name", "set it"}},
		{"missing key", "/operator.key", "/none.key", []string{"operatorKeyFile", "none.key", "name a readable file"}},
		{"short key", "/peer.key", "/short.key", []string{"short.key", "use at least 16 bytes"}},
		{"wrong level", "", "logLevel: loud", []string{"logLevel", "loud", "write debug, info, warn or error"}},
		{
			"port in use", operatorAddrLine, "operatorAddress: " + l.Addr().String(),
			[]string{"operatorAddress", l.Addr().String(), "stop the process that uses the address, or change it"},
		},
	}, fs...) {
		t.Run(f.Name, func(t *testing.T) {
			c := qt.New(t)
			d := t.TempDir()
			WriteSecrets(c, d)
			s := settings(d)
			if f.Old == "" {
				s += f.New + "\n"
			} else {
				c.Assert(s, qt.Contains, f.Old)
				s = strings.Replace(s, f.Old, f.New, 1)
			}
			config := filepath.Join(d, "settings.yaml")
			c.Assert(os.WriteFile(config, []byte(s), filePerm), qt.IsNil)
			before, err := os.ReadDir(d)
			c.Assert(err, qt.IsNil)

			var out bytes.Buffer
			r := command()
			r.SetOut(&out)
			r.SetErr(&out)
			r.SetArgs([]string{"run", "--config", config})
			err = process.Execute(r)
			c.Assert(process.ExitCode(err), qt.Equals, process.ExitInvalid, qt.Commentf("%v", err))
			for _, m := range f.WantInError {
				c.Check(err.Error(), qt.Contains, m)
			}
			c.Assert(strings.Count(err.Error(), "(invalid)"), qt.Equals, 1)
			c.Assert(err.Error(), qt.Not(qt.Contains), Key)
			c.Assert(out.String(), qt.Equals, "")
			after, err := os.ReadDir(d)
			c.Assert(err, qt.IsNil)
			c.Assert(len(after), qt.Equals, len(before))
		})
	}
}
