package connections

import (
	"bytes"
	"context"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/clock"
)

// TestCall checks that callers and endpoint work together, and that an unknown
// command ends the callers with an error.
func TestCall(t *testing.T) {
	tests := []struct {
		name, in, out string
		ok            bool
	}{
		{"all", "open\nrequest\nstream\n", "done\ndone\ndone\n", true},
		{"unknown", "open\nclose\n", "done\n", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			d := t.TempDir()
			p := certificateFiles{cert: filepath.Join(d, "cert.pem"), key: filepath.Join(d, "key.pem")}
			c.Assert(p.write(clock.System{}.Now()), qt.IsNil)
			a, stop, err := startEndpoint(context.Background(), clock.System{}, p)
			c.Assert(err, qt.IsNil)
			defer stop()
			var out bytes.Buffer
			err = Call(context.Background(), Options{Addr: a.String(), CAFile: p.cert, Count: 3}, strings.NewReader(tt.in), &out)
			c.Check(err == nil, qt.Equals, tt.ok, qt.Commentf("%v", err))
			c.Check(out.String(), qt.Equals, tt.out)
		})
	}
}
