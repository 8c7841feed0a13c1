// Package cmd implements the command line of the benchmarks.
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
	// defaultSeed makes runs repeatable, except for timed results.
	defaultSeed        = 1
	defaultCallersAddr = "127.0.4.1:7300"
)

type (
	// options holds the values of the flags.
	options struct {
		seed uint64
		only string
		// callersAddr is the address of the process that runs the callers.
		callersAddr string
	}

	// group is a set of measures that --only selects by its name.
	group struct {
		name string
		run  func(context.Context, io.Writer, uint64) error
	}
)

// groups holds the groups that need no other process, in the order of their
// run.
var groups = []group{
	{"flows", ignoreContext(flows.Run)},
	{"requests", ignoreContext(requests.Run)},
	{"control", ignoreContext(control.Run)},
	{"log", ignoreContext(replicas.Run)},
	{"relay", func(c context.Context, w io.Writer, _ uint64) error { return relay.Run(c, w, clock.System{}) }},
	{"balancer", useSystemClock(watching.RunBalancers)},
	{"agent", useSystemClock(watching.RunAgents)},
	{"streams", useSystemClock(watching.RunStreams)},
}

// Execute parses the command line and runs the command.
func Execute() error {
	var o options
	c := &cobra.Command{
		Use: "bench", Short: "Measure the system against its design bounds", Args: cobra.NoArgs,
		Long:         "Measure the system against its design bounds and print one line for each measure.\n\nGroups: " + strings.Join(groupNames(o.groups()), ", ") + ".",
		Example:      "  bench\n  bench --only control --seed 7",
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(c *cobra.Command, _ []string) error { return o.run(c.Context(), c.OutOrStdout(), o.groups()) },
	}
	c.Flags().Uint64Var(&o.seed, "seed", defaultSeed, "seed of the simulated runs")
	c.Flags().StringVar(&o.only, "only", "", "group to run; all by default")
	c.Flags().StringVar(&o.callersAddr, "callers", defaultCallersAddr, "`address` at which bench callers listens")
	c.AddCommand(newCallersCommand())
	return c.ExecuteContext(context.Background())
}

// run measures the selected groups and prints, last, the number and the names
// of the measures outside their bound.
func (o options) run(c context.Context, w io.Writer, gs []group) error {
	// quic-go warns about receive buffers that it can't set, as the endpoint
	// gives it a ring in place of a UDP socket.
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
		return balsampier.NewError(balsampier.KindInvalid, "run group "+o.only, "name one of "+strings.Join(groupNames(gs), ", "), nil)
	}
	m := r.Missed()
	_, err := fmt.Fprintln(r, strings.Join(append([]string{fmt.Sprintf("missed=%d", len(m))}, m...), " "))
	return trace.Wrap(err)
}

// groups returns all groups: the list, and connections, which needs the
// callers' process.
func (o options) groups() []group {
	return append(slices.Clone(groups), group{"connections", func(c context.Context, w io.Writer, _ uint64) error {
		a, err := netip.ParseAddrPort(o.callersAddr)
		if err != nil {
			return balsampier.NewError(balsampier.KindInvalid, "read --callers", "write address:port", err)
		}
		return connections.Run(c, w, clock.System{}, a)
	}})
}

// newCallersCommand returns the subcommand that runs the callers of the
// connections group in a process of their own, so that the memory of the
// benchmark is that of the endpoint alone.
func newCallersCommand() *cobra.Command {
	var listen string
	c := &cobra.Command{
		Use: connections.CallersCommand, Short: "Run the callers of the connections group until SIGTERM", Args: cobra.NoArgs,
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
	c.Flags().StringVar(&listen, "listen", defaultCallersAddr, "`address` to listen at")
	return c
}

// ignoreContext adapts a benchmark in simulated time to a group.
func ignoreContext(f func(io.Writer, uint64) error) func(context.Context, io.Writer, uint64) error {
	return func(_ context.Context, w io.Writer, seed uint64) error { return f(w, seed) }
}

// useSystemClock adapts a benchmark in real time to a group.
func useSystemClock(f func(context.Context, io.Writer, balsampier.Clock, uint64) error) func(context.Context, io.Writer, uint64) error {
	return func(c context.Context, w io.Writer, seed uint64) error { return f(c, w, clock.System{}, seed) }
}

func groupNames(gs []group) []string {
	ns := make([]string, 0, len(gs))
	for _, g := range gs {
		ns = append(ns, g.name)
	}
	return ns
}
