package cmd

import (
	"net/netip"
	"time"

	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier"
	"github.com/balsampier/balsampier/operator/report"
	"github.com/balsampier/balsampier/operator/rulefile"
	"github.com/balsampier/balsampier/query/explain"
	"github.com/balsampier/balsampier/query/zonetable"
)

const localLayout = "2006-01-02T15:04:05"

// packetFlags are the flags of explain: the packet, its time and the rules to
// use.
type packetFlags struct {
	to, from, at, local string
	accepted            bool
}

func newExplain(f *flags) *cobra.Command {
	var q packetFlags
	e := &cobra.Command{
		Use: "explain (FILE | --accepted)", Short: "Explain which rule applies to a packet", Args: cobra.MaximumNArgs(1),
		Long: `Explain which rule applies to a new connection, and why, by a file or by the
accepted rules. With --local the time is a local time in that time zone: a time
that occurs twice is explained twice, and one that the clock skips is refused.`,
		Example: `  balsampier explain --to 203.0.113.7:443 --from 192.0.2.10 --accepted
  balsampier explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-03-14T10:00:00Z rules.txt
  balsampier explain --to 203.0.113.7:443 --from 192.0.2.10 --at 2027-11-07T01:30 --local America/Vancouver rules.txt`,
		RunE: func(c *cobra.Command, args []string) error {
			to, from, err := q.parseAddresses()
			if err != nil {
				return err
			}
			r, err := f.selectRules(c, q, args)
			if err != nil {
				return err
			}
			ts, err := q.instants(r.zones, f.clock.Now())
			if err != nil {
				return err
			}
			for _, t := range ts {
				p := balsampier.Packet{ServiceAddr: to, Caller: netip.AddrPortFrom(from, 0), At: t}
				x, err := explain.Explain(r.revision, r.rules, r.zones, p)
				if err != nil {
					return err
				}
				if err := report.WriteExplanation(c.OutOrStdout(), x); err != nil {
					return err
				}
			}
			return nil
		},
	}
	e.Flags().StringVar(&q.to, "to", "", "service `address:port` of the packet")
	e.Flags().StringVar(&q.from, "from", "", "caller's `address`")
	e.Flags().StringVar(&q.at, "at", "", "`time` as 2027-03-14T10:00:00Z, or 2027-03-14T02:00 with --local; now if left out")
	e.Flags().StringVar(&q.local, "local", "", "time `zone` in which --at is a local time")
	e.Flags().BoolVar(&q.accepted, "accepted", false, "use the accepted rules and their zone tables")
	return e
}

// parseAddresses returns the service address and the caller's address.
func (q packetFlags) parseAddresses() (to netip.AddrPort, from netip.Addr, err error) {
	if to, err = netip.ParseAddrPort(q.to); err != nil {
		return to, from, balsampier.NewError(balsampier.KindInvalid, "read --to "+q.to, "write address:port", err)
	}
	if from, err = netip.ParseAddr(q.from); err != nil {
		return to, from, balsampier.NewError(balsampier.KindInvalid, "read --from "+q.from, "write an address without a port", err)
	}
	return to, from, nil
}

// selectRules returns the rules of the file in args, or the accepted ones. It
// prints the problems of a file that has errors.
func (f *flags) selectRules(c *cobra.Command, q packetFlags, args []string) (compiledRules, error) {
	if q.accepted != (len(args) == 0) {
		return compiledRules{}, balsampier.NewError(balsampier.KindInvalid, "choose rules", "give a file or --accepted, not both", nil)
	}
	if q.accepted {
		return f.acceptedRules(c)
	}
	text, err := readRules(args[0])
	if err != nil {
		return compiledRules{}, err
	}
	r, ps, err := compile(text, f.clock.Now())
	if err == nil && rulefile.HasErrors(ps) {
		_ = report.WriteProblems(c.ErrOrStderr(), ps)
		err = balsampier.NewError(balsampier.KindInvalid, "read "+args[0], "correct the lines named", nil)
	}
	return r, err
}

// acceptedRules fetches the accepted rule file and parses it.
func (f *flags) acceptedRules(c *cobra.Command) (compiledRules, error) {
	l, err := f.client(f.control)
	if err != nil {
		return compiledRules{}, err
	}
	x, cancel := f.context(c)
	defer cancel()
	a, err := l.Rules(x)
	if err != nil {
		return compiledRules{}, err
	}
	p, ps := rulefile.Parse(a.Text)
	if rulefile.HasErrors(ps) {
		return compiledRules{}, balsampier.NewError(balsampier.KindInvalid, "read the accepted rules", "use the version that control runs", nil)
	}
	return compiledRules{revision: a.Revision, rules: p.Rules, zones: a.ZoneTables()}, nil
}

// instants returns the instants to explain: now, the time of --at, or each
// instant at which the clock of the time zone of --local shows --at. There are
// two if the clock repeats that time, and it is an error if the clock skips it.
func (q packetFlags) instants(zs []balsampier.ZoneTable, now time.Time) ([]time.Time, error) {
	switch {
	case q.at == "" && q.local == "":
		return []time.Time{now}, nil
	case q.local == "":
		t, err := time.Parse(time.RFC3339, q.at)
		if err != nil {
			return nil, balsampier.NewError(balsampier.KindInvalid, "read --at "+q.at, "write 2027-03-14T10:00:00Z, or give --local", err)
		}
		return []time.Time{t}, nil
	}
	l, err := parseLocalTime(q.at)
	if err != nil {
		return nil, err
	}
	for _, z := range zs {
		if z.Zone != q.local {
			continue
		}
		if ts := zonetable.Instants(z, l); len(ts) > 0 {
			return ts, nil
		}
		return nil, balsampier.NewError(balsampier.KindInvalid, "read --at "+q.at, "the clock of "+q.local+" skips this time; give another", nil)
	}
	return nil, balsampier.NewError(balsampier.KindInvalid, "read --local "+q.local, "give a zone that the rules name", nil)
}

// parseLocalTime parses a local time with or without seconds.
func parseLocalTime(s string) (time.Time, error) {
	t, err := time.Parse(localLayout, s)
	if err != nil {
		t, err = time.Parse(localLayout[:len("2006-01-02T15:04")], s)
	}
	if err != nil {
		return t, balsampier.NewError(balsampier.KindInvalid, "read --at "+s, "write 2027-03-14T02:00", err)
	}
	return t, nil
}
