package cmd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

func TestRun(t *testing.T) {
	prints := func(s string) func(context.Context, io.Writer, uint64) error {
		return func(_ context.Context, w io.Writer, seed uint64) error {
			_, err := fmt.Fprintf(w, s, seed)
			return err
		}
	}
	gs := []group{
		{"one", prints("measure=a value=%d bound=9 ok=true\n")},
		{"two", prints("measure=b value=%d bound=1 ok=false\n")},
	}
	tests := []struct {
		only, out string
		kind      balsampier.Kind
	}{
		{"", "group=one\nmeasure=a value=7 bound=9 ok=true\ngroup=two\nmeasure=b value=7 bound=1 ok=false\nmissed=1 b\n", 0},
		{"one", "group=one\nmeasure=a value=7 bound=9 ok=true\nmissed=0\n", 0},
		{"three", "", balsampier.KindInvalid},
	}
	for _, tt := range tests {
		var w bytes.Buffer
		err := options{seed: 7, only: tt.only}.run(context.Background(), &w, gs)
		qt.Check(t, w.String(), qt.Equals, tt.out)
		if tt.kind != 0 {
			qt.Check(t, balsampier.KindOf(err), qt.Equals, tt.kind)
			continue
		}
		qt.Check(t, err, qt.IsNil)
	}
}
