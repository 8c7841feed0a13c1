// Package settings reads the YAML settings of a program. Unknown keys are
// refused and all faults are listed at once, each with its remedy.
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

// minKeyBytes is the least length of a shared key.
const minKeyBytes = 16

type (
	// Fault is one wrong setting.
	Fault struct {
		// Key is the path of the setting, such as tls.certFile.
		Key string
		// Value is what was found.
		Value string
		// Remedy says what to write instead.
		Remedy string
	}

	// Faults collects wrong settings; it is an error when there are any.
	Faults struct {
		list []Fault
	}

	// Checker is implemented by the settings of every program.
	Checker interface {
		// SetDefaults fills what was left out.
		SetDefaults()
		// Check adds a fault for everything that is wrong.
		Check(f *Faults)
	}
)

// Load reads the file at path into s, fills defaults and checks.
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
	f.clearAddrs(&n, reflect.TypeOf(s), "")
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

// WithPort returns the addresses with another port.
func WithPort(as []netip.AddrPort, port uint16) []netip.AddrPort {
	out := make([]netip.AddrPort, 0, len(as))
	for _, a := range as {
		out = append(out, netip.AddrPortFrom(a.Addr(), port))
	}
	return out
}

// Add records a fault; a key that has one already gets no second.
func (f *Faults) Add(key, value, remedy string) {
	if slices.ContainsFunc(f.list, func(v Fault) bool { return v.Key == key }) {
		return
	}
	f.list = append(f.list, Fault{Key: key, Value: value, Remedy: remedy})
}

// Required records a fault when the value is empty.
func (f *Faults) Required(key, value string) {
	if value == "" {
		f.Add(key, value, "set it")
	}
}

// Addr records a fault when the address is missing.
func (f *Faults) Addr(key string, a netip.AddrPort) {
	if !a.IsValid() {
		f.Add(key, "", "write address:port")
	}
}

// File records a fault when the file cannot be read.
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

// Positive records a fault when n is not positive.
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

// ReadKey reads a key file; surrounding white space does not count.
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
