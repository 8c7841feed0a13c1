// Package cmd is the command line of the benchmarks.
package cmd

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"

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

const (
	// defaultSeed makes runs repeatable but for what is timed.
	defaultSeed    = 1
	defaultCallers = "127.0.4.1:7300"
)

type (
	// options are the flags.
	options struct {
		seed uint64
		only string
		// callers is the address of the process that plays callers.
		callers string
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
}

// Execute runs the command line.
func Execute() error {
	var o options
	c := &cobra.Command{
		Use: "bench", Short: "Measure the bounds of the design, one line a measure", Args: cobra.NoArgs,
		Long:         "Measure the bounds of the design, one line a measure.\n\nGroups: " + strings.Join(names(o.groups()), ", ") + ".",
		Example:      "  bench\n  bench --only control --seed 7",
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.Context(), c.OutOrStdout(), o.groups()) },
	}
	c.Flags().Uint64Var(&o.seed, "seed", defaultSeed, "seed of the simulated runs")
	c.Flags().StringVar(&o.only, "only", "", "group to run; all by default")
	c.Flags().StringVar(&o.callers, "callers", defaultCallers, "`address` at which bench callers listens")
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

// groups are those of the list and the one that needs callers.
func (o options) groups() []group {
	return append(slices.Clone(groups), group{"connections", func(c context.Context, w io.Writer, _ uint64) error {
		a, err := netip.ParseAddrPort(o.callers)
		if err != nil {
			return balsampier.NewError(balsampier.KindInvalid, "read --callers", "write address:port", err)
		}
		return connections.Run(c, w, clock.System{}, a)
	}})
}

// callersCommand plays the callers of the connections group, so that the
// memory of the other process is that of the service alone.
func callersCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use: connections.CallersCommand, Short: "Play the callers of the connections group until SIGTERM", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error {
			a, err := netip.ParseAddrPort(listen)
			if err != nil {
				return balsampier.NewError(balsampier.KindInvalid, "read --listen", "write address:port", err)
			}
			x, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			return connections.Serve(x, a)
		},
	}
	c.Flags().StringVar(&listen, "listen", defaultCallers, "`address` to listen at")
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
