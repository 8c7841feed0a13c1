package app

import (
	"net/netip"
	"regexp"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/settings"
	"github.com/balsampier/balsampier/settings/settingstest"
)

func TestSettingsAreDocumented(t *testing.T) {
	settingstest.Check(t, &Settings{}, "../../../docs/CONFIG.md", "control", "../../../examples/control.yaml")
}

func TestSeedSettings(t *testing.T) {
	ipv4 := netip.MustParseAddrPort("192.0.2.1:7000")
	ipv6 := netip.MustParseAddrPort("[2001:db8::1]:7000")
	tests := []struct {
		name      string
		peer      netip.AddrPort
		seeds     []netip.AddrPort
		tolerance int
		key       string
	}{
		{"right", ipv4, []netip.AddrPort{ipv4}, 1, ""},
		{"no seeds", ipv4, nil, 1, "seeds"},
		{"IPv6 peer address", ipv6, []netip.AddrPort{ipv4}, 1, "peerAddress"},
		{"IPv6 seed", ipv4, []netip.AddrPort{ipv4, ipv6}, 1, "seeds[1]"},
		{"tolerance above the limit", ipv4, []netip.AddrPort{ipv4}, 5, "tolerance"},
	}
	for _, v := range tests {
		t.Run(v.name, func(t *testing.T) {
			c := qt.New(t)
			s := Settings{Documents: true, PeerAddr: v.peer, Seeds: v.seeds, Tolerance: v.tolerance}
			var f settings.Faults
			s.checkSeeds(&f)
			if v.key == "" {
				c.Assert(f.Err("x"), qt.IsNil)
				return
			}
			c.Assert(f.Err("x"), qt.ErrorMatches, "(?s).*"+regexp.QuoteMeta(v.key)+".*")
		})
	}
}
