// Package cmd is the command line of the benchmarks.
package cmd

import (
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/cmd/bench/relay"
)

// defaultSeed makes runs repeatable but for what is timed.
const defaultSeed = 1

// Execute runs the command line.
func Execute() error {
	var seed uint64
	c := &cobra.Command{
		Use: "bench", Short: "Measure the bounds of the design, one line a measure", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return relay.Run(c.Context(), c.OutOrStdout(), clock.System{})
		},
	}
	c.Flags().Uint64Var(&seed, "seed", defaultSeed, "seed of the simulated runs")
	return c.Execute()
}
