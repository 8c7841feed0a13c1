// Package cmd is the command line of the stand-ins.
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

// Execute runs the command line.
func Execute() error {
	root := &cobra.Command{Use: "standin", Short: "Play the fabric, a backend server or a caller", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(newFabric(), newBackend(), newCaller(), newKey())
	return root.Execute()
}

func newFabric() *cobra.Command {
	var routes []string
	c := &cobra.Command{
		Use: "fabric", Short: "Spray each datagram to a random balancer", Args: cobra.NoArgs,
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
		Use: "backend", Short: "Serve as a backend server and announce it to its agent", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			x, stop := signal.NotifyContext(c.Context(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			var err error
			if o.Addr, err = netip.ParseAddrPort(addr); err != nil {
				return balsampier.NewError(balsampier.KindInvalid, "read --address", "write address:port", err)
			}
			if o.Agent, err = netip.ParseAddrPort(agent); err != nil {
				return balsampier.NewError(balsampier.KindInvalid, "read --agent", "write address:port", err)
			}
			o.Clock = clock.System{}
			return backend.Run(x, o)
		},
	}
	c.Flags().StringVar(&addr, "address", "", "`address` to serve on")
	c.Flags().StringVar(&agent, "agent", "", "backend `address` of the agent")
	c.Flags().StringVar(&o.Name, "name", "backend", "name in answers")
	c.Flags().StringVar(&o.Service, "service", "", "service to announce")
	c.Flags().IntVar(&o.Slots, "slots", 3, "slots to announce")
	c.Flags().IntVar(&o.Connections, "connections", 2000, "connections to announce")
	c.Flags().DurationVar(&o.Work, "work", 0, "time that each request takes")
	c.Flags().StringVar(&o.Ledger, "ledger", "", "`file` that records what ran")
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
	c.Flags().IntVar(&o.Count, "count", 1, "number of requests")
	c.Flags().IntVar(&o.Callers, "callers", 1, "number of callers at once")
	c.Flags().BoolVar(&o.Keyed, "keyed", false, "send an idempotency key and resend what is refused as not run")
	c.Flags().StringVar(&o.Key, "key", "", "send this idempotency `key` with each request, and no resends")
	c.Flags().BoolVar(&o.Stream, "stream", false, "read a stream until it ends and check every line")
	c.Flags().DurationVar(&o.Every, "every", 0, "time between the starts of one caller's requests")
	c.Flags().IntVar(&o.Overlap, "overlap", 1, "how many requests one caller may have under way")
	c.Flags().DurationVar(&o.For, "for", 0, "make requests for this long, and record refusals instead of failing")
	c.Flags().IntVar(&o.Resends, "resends", 100, "how often a keyed request is sent again at most")
	c.Flags().IntVar(&o.Pad, "pad", 0, "bytes to add to each body")
	c.Flags().StringVar(&o.Service, "service", "", "service that must answer")
	c.Flags().StringVar(&o.Ledger, "ledger", "", "`file` that records what was answered")
	c.Flags().DurationVar(&o.Timeout, "timeout", 10*time.Second, "patience for one request")
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
