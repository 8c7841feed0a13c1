// Package measure prints benchmark results as lines of the form
// "measure=NAME value=V [bound=B ok=BOOL]", fits straight lines through the
// results taken at several sizes, and records which results miss their bound.
package measure

import (
	"bytes"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

var (
	measurePrefix = []byte("measure=")
	missedMark    = []byte(" ok=false")
)

type (
	// Report prints measures. Lines that are formatted already go through
	// Write, so one Report can collect the output of others. It is not safe for
	// concurrent use.
	Report struct {
		w io.Writer
		// pointsByName holds the values that await PrintSlopes.
		pointsByName map[string][]Point
		// pointNames holds the keys of pointsByName in the order of insertion.
		pointNames []string
		// missed holds the names of the measures outside their bound.
		missed []string
		// partialLine buffers the input of Write after the last line end.
		partialLine []byte
		// err is the first error of w; nothing is written after it.
		err error
	}

	// Point is the value of a measure at one size.
	Point struct{ Size, Value float64 }
)

// New returns a Report that prints to w.
func New(w io.Writer) *Report { return &Report{w: w, pointsByName: make(map[string][]Point)} }

// AtMost prints a measure with an inclusive upper bound.
func (r *Report) AtMost(name string, v, bound float64) {
	r.printf("measure=%s value=%.6g bound=%.6g ok=%t\n", name, v, bound, v <= bound)
}

// AtLeast prints a measure with an inclusive lower bound.
func (r *Report) AtLeast(name string, v, bound float64) {
	r.printf("measure=%s value=%.6g bound=%.6g ok=%t\n", name, v, bound, v >= bound)
}

// Figure prints a measure without a bound.
func (r *Report) Figure(name string, v float64) { r.printf("measure=%s value=%.6g\n", name, v) }

// Sized prints a measure as NAME.SIZE and records it for PrintSlopes.
func (r *Report) Sized(name string, size int, v float64) {
	r.Figure(fmt.Sprintf("%s.%d", name, size), v)
	r.Add(name, size, v)
}

// SizedAtMost is like Sized with an inclusive upper bound.
func (r *Report) SizedAtMost(name string, size int, v, bound float64) {
	r.AtMost(fmt.Sprintf("%s.%d", name, size), v, bound)
	r.Add(name, size, v)
}

// Add records a value for PrintSlopes without printing it.
func (r *Report) Add(name string, size int, v float64) {
	if _, ok := r.pointsByName[name]; !ok {
		r.pointNames = append(r.pointNames, name)
	}
	r.pointsByName[name] = append(r.pointsByName[name], Point{float64(size), v})
}

// PrintSlopes prints, for each recorded measure, its growth for each unit of
// size and its extrapolated value at size zero, and then discards the records.
// The name of the unit, per, becomes part of the names of the measures.
func (r *Report) PrintSlopes(per string) {
	for _, n := range r.pointNames {
		s, i := Fit(r.pointsByName[n])
		r.printf("measure=%s.per%s value=%.6g intercept=%.6g\n", n, per, s, i)
	}
	r.pointNames, r.pointsByName = nil, make(map[string][]Point)
}

// Missed returns the names of the measures outside their bound.
func (r *Report) Missed() []string { return r.missed }

// Err returns the first error of the underlying writer.
func (r *Report) Err() error { return trace.Wrap(r.err) }

// Write prints the complete lines in p and buffers the rest until its line
// end arrives. Measures among them that miss their bound are recorded.
func (r *Report) Write(p []byte) (int, error) {
	r.partialLine = append(r.partialLine, p...)
	for {
		i := bytes.IndexByte(r.partialLine, '\n')
		if i < 0 {
			return len(p), r.err
		}
		r.writeLine(r.partialLine[:i+1])
		r.partialLine = r.partialLine[i+1:]
	}
}

func (r *Report) printf(format string, as ...any) { r.writeLine(fmt.Appendf(nil, format, as...)) }

func (r *Report) writeLine(l []byte) {
	if bytes.HasPrefix(l, measurePrefix) && bytes.Contains(l, missedMark) {
		n, _, _ := bytes.Cut(l[len(measurePrefix):], []byte(" "))
		r.missed = append(r.missed, string(n))
	}
	if r.err == nil {
		_, r.err = r.w.Write(l)
	}
}

// Fit returns the least-squares line through the points. At least two of them
// must differ in size.
func Fit(ps []Point) (slope, intercept float64) {
	var x, y, xx, xy float64
	n := float64(len(ps))
	for _, p := range ps {
		x, y, xx, xy = x+p.Size, y+p.Value, xx+p.Size*p.Size, xy+p.Size*p.Value
	}
	slope = (n*xy - x*y) / (n*xx - x*x)
	return slope, (y - slope*x) / n
}
