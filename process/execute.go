package process

import (
	"runtime/debug"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
)

// Execute runs the command line. Errors in its arguments and flags are returned
// as KindInvalid.
func Execute(root *cobra.Command) error {
	var ran bool
	root.PersistentPreRun = func(*cobra.Command, []string) { ran = true }
	err := root.Execute()
	if err == nil || ran || balsampier.KindOf(err) != 0 {
		return err
	}
	return balsampier.NewError(balsampier.KindInvalid, "read the command line", "see "+root.Name()+" --help", err)
}

// Version returns the module version, the VCS revision and the Go version of the
// build, or "unknown" without build information.
func Version() string {
	b, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	v := b.Main.Version
	for _, s := range b.Settings {
		if s.Key == "vcs.revision" {
			v += " " + s.Value
		}
	}
	return v + " " + b.GoVersion
}
