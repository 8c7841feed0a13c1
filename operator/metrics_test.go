package operator_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var (
	metricPattern  = regexp.MustCompile(`["` + "`" + `](balsampier_[a-z_]+)`)
	counterPattern = regexp.MustCompile(`Counter\([^"]*"(balsampier_[a-z_]+)`)
	rowPattern     = regexp.MustCompile("(?m)^\\| `(balsampier_[a-z_]+)` \\|[^|]*\\| [^|]+ \\|$")
)

// TestMetricsAreDocumented checks that docs/METRICS.md lists exactly the
// metrics in the source of all modules, that the names of counters end in
// _total, and that the alerts in docs/OPERATIONS.md use existing metrics only.
func TestMetricsAreDocumented(t *testing.T) {
	c := qt.New(t)
	var metrics []string
	err := filepath.WalkDir("..", func(p string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(p, ".go") || strings.HasSuffix(p, "_test.go") {
			return err
		}
		b, err := os.ReadFile(p)
		for _, m := range metricPattern.FindAllSubmatch(b, -1) {
			metrics = append(metrics, string(m[1]))
		}
		for _, m := range counterPattern.FindAllSubmatch(b, -1) {
			c.Check(string(m[1]), qt.Matches, ".*_total", qt.Commentf("%s", p))
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	metricsPage, err := os.ReadFile("../docs/METRICS.md")
	c.Assert(err, qt.IsNil)
	var documented []string
	for _, m := range rowPattern.FindAllSubmatch(metricsPage, -1) {
		documented = append(documented, string(m[1]))
	}
	slices.Sort(metrics)
	slices.Sort(documented)
	c.Assert(documented, qt.DeepEquals, slices.Compact(metrics))
	operationsPage, err := os.ReadFile("../docs/OPERATIONS.md")
	c.Assert(err, qt.IsNil)
	alertMetrics := metricPattern.FindAllSubmatch(operationsPage, -1)
	c.Assert(alertMetrics, qt.Not(qt.HasLen), 0)
	for _, m := range alertMetrics {
		c.Check(metrics, qt.Contains, string(m[1]))
	}
}
