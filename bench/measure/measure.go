// Package measure prints measures, one a line, fits lines through those that
// were taken at several sizes and remembers which ones missed their bound.
package measure

import (
	"bytes"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

var (
	prefix = []byte("measure=")
	missed = []byte(" ok=false")
)

type (
	// Report prints measures. It is an io.Writer for lines that were already
	// made.
	Report struct {
		w io.Writer
		// points hold the values of each measure against the size.
		points map[string][]Point
		// names are the keys of points in the order of their first value.
		names []string
		// missed names the measures that do not keep their bound.
		missed []string
		// rest is the start of a line that Write has not seen the end of.
		rest []byte
		// err is the first error of w; nothing is printed after it.
		err error
	}

	// Point is one value at one size.
	Point struct{ Size, Value float64 }
)

// New returns a report that prints to w.
func New(w io.Writer) *Report { return &Report{w: w, points: make(map[string][]Point)} }

// AtMost prints a measure that must not exceed its bound.
func (r *Report) AtMost(name string, v, bound float64) {
	r.printf("measure=%s value=%.6g bound=%.6g ok=%t\n", name, v, bound, v <= bound)
}

// AtLeast prints a measure that must not fall below its bound.
func (r *Report) AtLeast(name string, v, bound float64) {
	r.printf("measure=%s value=%.6g bound=%.6g ok=%t\n", name, v, bound, v >= bound)
}

// Figure prints a value that has no bound.
func (r *Report) Figure(name string, v float64) { r.printf("measure=%s value=%.6g\n", name, v) }

// Sized prints a value at a size and remembers it for Slopes.
func (r *Report) Sized(name string, size int, v float64) {
	r.Figure(fmt.Sprintf("%s.%d", name, size), v)
	r.Add(name, size, v)
}

// SizedAtMost is Sized with a bound.
func (r *Report) SizedAtMost(name string, size int, v, bound float64) {
	r.AtMost(fmt.Sprintf("%s.%d", name, size), v, bound)
	r.Add(name, size, v)
}

// Add remembers a value for Slopes.
func (r *Report) Add(name string, size int, v float64) {
	if _, ok := r.points[name]; !ok {
		r.names = append(r.names, name)
	}
	r.points[name] = append(r.points[name], Point{float64(size), v})
}

// PrintSlopes prints by how much each measure grows with the size, and its value
// at size zero.
func (r *Report) PrintSlopes(per string) {
	for _, n := range r.names {
		s, i := Fit(r.points[n])
		r.printf("measure=%s.per%s value=%.6g intercept=%.6g\n", n, per, s, i)
	}
	r.names, r.points = nil, make(map[string][]Point)
}

// Missed returns the names of the measures that do not keep their bound.
func (r *Report) Missed() []string { return r.missed }

// Err returns the first error of printing.
func (r *Report) Err() error { return trace.Wrap(r.err) }

// Write prints lines that were already made.
func (r *Report) Write(p []byte) (int, error) {
	r.rest = append(r.rest, p...)
	for {
		i := bytes.IndexByte(r.rest, '\n')
		if i < 0 {
			return len(p), r.err
		}
		r.line(r.rest[:i+1])
		r.rest = r.rest[i+1:]
	}
}

func (r *Report) printf(format string, as ...any) { r.line(fmt.Appendf(nil, format, as...)) }

func (r *Report) line(l []byte) {
	if bytes.HasPrefix(l, prefix) && bytes.Contains(l, missed) {
		n, _, _ := bytes.Cut(l[len(prefix):], []byte(" "))
		r.missed = append(r.missed, string(n))
	}
	if r.err == nil {
		_, r.err = r.w.Write(l)
	}
}

// Fit returns the least-squares line through the points, of which at least
// two must differ in size.
func Fit(ps []Point) (slope, intercept float64) {
	var x, y, xx, xy float64
	n := float64(len(ps))
	for _, p := range ps {
		x, y, xx, xy = x+p.Size, y+p.Value, xx+p.Size*p.Size, xy+p.Size*p.Value
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}
