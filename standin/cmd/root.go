// Package cmd implements the command line of the stand-ins for tests: fabric,
// backend server and caller.
package cmd

import (
	"fmt"
	"net/netip"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/clock"
	"github.com/balsampier/balsampier/random"
	"github.com/balsampier/balsampier/standin/backend"
	"github.com/balsampier/balsampier/standin/caller"
	"github.com/balsampier/balsampier/standin/fabric"
)

// Execute parses the command line and runs the command.
func Execute() error {
	root := &cobra.Command{Use: "standin", Short: "Run a test fabric, backend server or caller", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newFabric(), newBackend(), newCaller(), newKey())
	return root.Execute()
}

func newFabric() *cobra.Command {
	var routes []string
	c := &cobra.Command{
		Use: "fabric", Short: "Forward each datagram to a random balancer", Args: cobra.NoArgs,
		Example: "  standin fabric --route 127.0.0.1:8443=127.0.1.1:8443,127.0.1.2:8443",
		RunE: func(c *cobra.Command, _ []string) error {
			x, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			rs, err := parseRoutes(routes)
			if err != nil {
				return err
			}
			return fabric.Run(x, rs, clock.System{}, random.System{})
		},
	}
	c.Flags().StringArrayVar(&routes, "route", nil, "`SERVICE=BALANCER,…` addresses, once per service address")
	return c
}

// parseRoutes reads routes in the form SERVICE=BALANCER,….
func parseRoutes(ss []string) ([]fabric.Route, error) {
	var rs []fabric.Route
	for _, s := range ss {
		a, list, _ := strings.Cut(s, "=")
		p, err := netip.ParseAddrPort(a)
		if err != nil {
			return nil, balsampier.NewError(balsampier.KindInvalid, "read route "+s, "write SERVICE=BALANCER,…", err)
		}
		r := fabric.Route{Service: p}
		for b := range strings.SplitSeq(list, ",") {
			p, err := netip.ParseAddrPort(b)
			if err != nil {
				return nil, balsampier.NewError(balsampier.KindInvalid, "read route "+s, "write SERVICE=BALANCER,…", err)
			}
			r.Balancers = append(r.Balancers, p)
		}
		rs = append(rs, r)
	}
	return rs, nil
}

func newBackend() *cobra.Command {
	var o backend.Options
	var addr, agent string
	c := &cobra.Command{
		Use: "backend", Short: "Run a backend server and announce it to its agent", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			x, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			var err error
			if o.Addr, err = netip.ParseAddrPort(addr); err != nil {
				return balsampier.NewError(balsampier.KindInvalid, "read --address", "write address:port", err)
			}
			if o.AgentAddr, err = netip.ParseAddrPort(agent); err != nil {
				return balsampier.NewError(balsampier.KindInvalid, "read --agent", "write address:port", err)
			}
			o.Clock = clock.System{}
			return backend.Run(x, o)
		},
	}
	c.Flags().StringVar(&addr, "address", "", "`address` to serve on")
	c.Flags().StringVar(&agent, "agent", "", "backend `address` of the agent")
	c.Flags().StringVar(&o.Name, "name", "backend", "name in responses")
	c.Flags().StringVar(&o.Service, "service", "", "service to announce")
	c.Flags().IntVar(&o.Slots, "slots", 3, "slots to announce")
	c.Flags().IntVar(&o.Connections, "connections", 2000, "connections to announce")
	c.Flags().DurationVar(&o.WorkDelay, "work", 0, "time that each request takes")
	c.Flags().StringVar(&o.LedgerPath, "ledger", "", "`file` to append requests to as they start")
	return c
}

func newCaller() *cobra.Command {
	var o caller.Options
	c := &cobra.Command{
		Use: "caller URL", Short: "Call a service over HTTP/3", Args: cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			x, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			o.URL, o.Out, o.Clock = args[0], c.OutOrStdout(), clock.System{}
			return caller.Run(x, o)
		},
	}
	c.Flags().StringVar(&o.CAFile, "ca", "cert.pem", "`file` with the certificate to trust")
	c.Flags().StringVar(&o.Method, "method", "GET", "HTTP method")
	c.Flags().StringVar(&o.Body, "body", "", "request body")
	c.Flags().IntVar(&o.Count, "count", 1, "number of requests of each caller")
	c.Flags().IntVar(&o.Callers, "callers", 1, "number of concurrent callers")
	c.Flags().BoolVar(&o.Keyed, "keyed", false, "send an idempotency key and retry until answered or the outcome is unknown")
	c.Flags().StringVar(&o.Key, "key", "", "send this idempotency `key` with each request, without retries")
	c.Flags().BoolVar(&o.Stream, "stream", false, "read a stream until it ends and check every line")
	c.Flags().DurationVar(&o.Interval, "every", 0, "time between the starts of one caller's requests")
	c.Flags().IntVar(&o.MaxInFlight, "overlap", 1, "most requests that one caller has in flight")
	c.Flags().DurationVar(&o.Duration, "for", 0, "duration of the run in place of --count; refusals are recorded and are no errors")
	c.Flags().IntVar(&o.MaxRetries, "resends", 100, "most retries of a keyed request")
	c.Flags().IntVar(&o.PadBytes, "pad", 0, "bytes to add to each body")
	c.Flags().StringVar(&o.Service, "service", "", "service that must answer")
	c.Flags().StringVar(&o.LedgerPath, "ledger", "", "`file` to append outcomes to")
	c.Flags().DurationVar(&o.RequestTimeout, "timeout", 10*time.Second, "time-out of one request, except streams")
	return c
}

func newKey() *cobra.Command {
	return &cobra.Command{
		Use: "key", Short: "Print a new idempotency key", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			k, err := uuid.NewV7()
			if err != nil {
				return err
			}
			_, err = fmt.Fprintln(c.OutOrStdout(), k)
			return err
		},
	}
}
