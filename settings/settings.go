// Package settings reads and validates the YAML settings of a program. Unknown
// keys are rejected, and all invalid settings are reported in one error, each
// with its remedy.
package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strings"

	"github.com/gravitational/trace"
	"go.yaml.in/yaml/v3"

	"github.com/balsampier/balsampier"
)

// minKeyBytes is the minimum length of a shared key.
const minKeyBytes = 16

type (
	// Fault describes one invalid setting.
	Fault struct {
		// Key is the path of the setting, such as tls.certFile.
		Key string
		// Value is the invalid value.
		Value string
		// Remedy tells the operator what to write instead.
		Remedy string
	}

	// Faults collects invalid settings; Err converts them to an error.
	Faults struct {
		list []Fault
	}

	// Checker is implemented by the settings of every program.
	Checker interface {
		// SetDefaults sets the defaults of settings that were left out.
		SetDefaults()
		// Check adds a fault to f for each invalid setting.
		Check(f *Faults)
	}
)

// Load reads the file at path into s, sets the defaults and checks the settings.
// It returns a KindInvalid error if any of these steps fails.
func Load(path string, s Checker) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "read settings "+path, "give a readable file with --config", err)
	}
	var f Faults
	if err := decode(b, s, &f); err != nil {
		return balsampier.NewError(balsampier.KindInvalid, "read settings "+path, "correct the lines named; docs/CONFIG.md lists the keys", err)
	}
	s.SetDefaults()
	s.Check(&f)
	return f.Err(path)
}

func decode(b []byte, s Checker, f *Faults) error {
	var n yaml.Node
	if err := yaml.Unmarshal(b, &n); err != nil {
		return trace.Wrap(err)
	}
	f.clearInvalidAddrs(&n, reflect.TypeOf(s), "")
	if len(f.list) > 0 {
		var err error
		if b, err = yaml.Marshal(&n); err != nil {
			return trace.Wrap(err)
		}
	}
	d := yaml.NewDecoder(bytes.NewReader(b))
	d.KnownFields(true)
	if err := d.Decode(s); !errors.Is(err, io.EOF) {
		return trace.Wrap(err)
	}
	return nil
}

// WithPort returns a copy of the addresses with their ports replaced.
func WithPort(as []netip.AddrPort, port uint16) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(as))
	for _, a := range as {
		out = append(out, netip.AddrPortFrom(a.Addr(), port))
	}
	return out
}

// Add records a fault unless the key already has one.
func (f *Faults) Add(key, value, remedy string) {
	if slices.ContainsFunc(f.list, func(v Fault) bool { return v.Key == key }) {
		return
	}
	f.list = append(f.list, Fault{Key: key, Value: value, Remedy: remedy})
}

// Required records a fault if the value is empty.
func (f *Faults) Required(key, value string) {
	if value == "" {
		f.Add(key, value, "set it")
	}
}

// Addr records a fault if the address is missing.
func (f *Faults) Addr(key string, a netip.AddrPort) {
	if !a.IsValid() {
		f.Add(key, "", "write address:port")
	}
}

// File records a fault if the file cannot be opened.
func (f *Faults) File(key, path string) {
	if path == "" {
		f.Add(key, path, "name a file")
		return
	}
	if h, err := os.Open(path); err != nil {
		f.Add(key, path, "name a readable file: "+err.Error())
	} else {
		_ = h.Close()
	}
}

// Positive records a fault if n is not positive.
func (f *Faults) Positive(key string, n int) {
	if n <= 0 {
		f.Add(key, fmt.Sprint(n), "write a positive number")
	}
}

// Err returns the faults of the file at path as one error, or nil.
func (f *Faults) Err(path string) error {
	if len(f.list) == 0 {
		return nil
	}
	var b strings.Builder
	for _, v := range f.list {
		fmt.Fprintf(&b, "\n  %s: %q: %s", v.Key, v.Value, v.Remedy)
	}
	return balsampier.NewError(balsampier.KindInvalid, "check settings "+path, "correct these settings", errors.New(b.String()))
}

// ReadKey reads a key file and trims white space around the key. It returns a
// KindInvalid error if the file cannot be read or the key is too short.
func ReadKey(path string) ([]byte, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, balsampier.NewError(balsampier.KindInvalid, "read key file", "make one with balsampier key", trace.ConvertSystemError(err))
	}
	b = bytes.TrimSpace(b)
	if len(b) < minKeyBytes {
		return nil, balsampier.NewError(balsampier.KindInvalid, "read key file "+path, "use at least 16 bytes", nil)
	}
	return b, nil
}
