package process

import (
	"fmt"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/settings"
)

// NewCommand returns the root command of a daemon with the subcommands run and
// check-config. S is the settings type; if *S has a SetPath method, it receives
// the path of the settings file.
func NewCommand[S any, P interface {
	*S
	settings.Checker
}](name, short string, run func(S) error,
) *cobra.Command {
	var path string
	root := &cobra.Command{
		Use: name, Short: short, Version: Version(), SilenceUsage: true, SilenceErrors: true,
		Long: short + `.

Exit codes: 0 done, 1 failed at run time, 2 wrong input or settings, 3 ended at
once by a second signal.`,
		Example: fmt.Sprintf("  %s run --config %s.yaml\n  %s check-config --config %s.yaml", name, name, name, name),
	}
	root.PersistentFlags().StringVar(&path, "config", name+".yaml", "settings `file` in YAML")
	root.AddCommand(&cobra.Command{
		Use: "run", Short: "Run until SIGTERM, which stops gracefully", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			var s S
			if err := settings.Load(path, P(&s)); err != nil {
				return err
			}
			if p, ok := any(&s).(interface{ SetPath(string) }); ok {
				p.SetPath(path)
			}
			return run(s)
		},
	}, &cobra.Command{
		Use: "check-config", Short: "Check the settings and exit", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var s S
			if err := settings.Load(path, P(&s)); err != nil {
				return err
			}
			c.Println(path + ": the settings are right")
			return nil
		},
	})
	return root
}
