// Package cmd is the command line of the benchmarks.
package cmd

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/gravitational/trace"
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/bench/control"
	"github.com/balsampier/balsampier/bench/flows"
	"github.com/balsampier/balsampier/bench/measure"
	"github.com/balsampier/balsampier/bench/replicas"
	"github.com/balsampier/balsampier/bench/requests"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/cmd/bench/connections"
	"github.com/balsampier/balsampier/cmd/bench/relay"
	"github.com/balsampier/balsampier/cmd/bench/watching"
)

// defaultSeed makes runs repeatable but for what is timed.
const defaultSeed = 1

type (
	// options are the flags.
	options struct {
		seed uint64
		only string
	}

	// group is a set of measures that run together.
	group struct {
		name string
		run  func(context.Context, io.Writer, uint64) error
	}
)

// groups run in this order.
var groups = []group{
	{"flows", plain(flows.Run)},
	{"requests", plain(requests.Run)},
	{"control", plain(control.Run)},
	{"log", plain(replicas.Run)},
	{"relay", func(c context.Context, w io.Writer, _ uint64) error { return relay.Run(c, w, clock.System{}) }},
	{"balancer", timed(watching.RunBalancers)},
	{"agent", timed(watching.RunAgents)},
	{"streams", timed(watching.RunStreams)},
	{"connections", func(c context.Context, w io.Writer, _ uint64) error {
		return connections.Run(c, w, clock.System{})
	}},
}

// Execute runs the command line.
func Execute() error {
	var o options
	c := &cobra.Command{
		Use: "bench", Short: "Measure the bounds of the design, one line a measure", Args: cobra.NoArgs,
		Long:         "Measure the bounds of the design, one line a measure.\n\nGroups: " + strings.Join(names(groups), ", ") + ".",
		Example:      "  bench\n  bench --only control --seed 7",
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.Context(), c.OutOrStdout(), groups) },
	}
	c.Flags().Uint64Var(&o.seed, "seed", defaultSeed, "seed of the simulated runs")
	c.Flags().StringVar(&o.only, "only", "", "group to run; all by default")
	c.AddCommand(callersCommand())
	return c.ExecuteContext(context.Background())
}

// run prints the groups, and at last which measures missed their bound.
func (o options) run(c context.Context, w io.Writer, gs []group) error {
	// The QUIC library warns of the rings that stand in for its sockets.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return trace.ConvertSystemError(err)
	}
	r := measure.New(w)
	found := false
	for _, g := range gs {
		if o.only != "" && o.only != g.name {
			continue
		}
		found = true
		if _, err := fmt.Fprintf(r, "group=%s\n", g.name); err != nil {
			return trace.Wrap(err)
		}
		if err := g.run(c, r, o.seed); err != nil {
			return trace.Wrap(err, "measure %s", g.name)
		}
	}
	if !found {
		return balsampier.NewError(balsampier.KindInvalid, "run group "+o.only, "name one of "+strings.Join(names(gs), ", "), nil)
	}
	m := r.Missed()
	_, err := fmt.Fprintln(r, strings.Join(append([]string{fmt.Sprintf("missed=%d", len(m))}, m...), " "))
	return trace.Wrap(err)
}

// callersCommand plays the callers of the connections group in a process of
// their own.
func callersCommand() *cobra.Command {
	var o connections.Options
	c := &cobra.Command{
		Use: connections.CallersCommand, Short: "Play callers", Args: cobra.NoArgs, Hidden: true,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return connections.Call(c.Context(), o, c.InOrStdin(), c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&o.Addr, "to", "", "address to call")
	c.Flags().StringVar(&o.CAFile, "ca", "", "certificate of the service")
	c.Flags().IntVar(&o.Count, "count", 1, "number of connections")
	return c
}

func plain(f func(io.Writer, uint64) error) func(context.Context, io.Writer, uint64) error {
	return func(_ context.Context, w io.Writer, seed uint64) error { return f(w, seed) }
}

func timed(f func(context.Context, io.Writer, balsampier.Clock, uint64) error) func(context.Context, io.Writer, uint64) error {
	return func(c context.Context, w io.Writer, seed uint64) error { return f(c, w, clock.System{}, seed) }
}

func names(gs []group) []string {
	ns := make([]string, 0, len(gs))
	for _, g := range gs {
		ns = append(ns, g.name)
	}
	return ns
}
