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
	good := netip.MustParseAddrPort("192.0.2.1:7000")
	six := netip.MustParseAddrPort("[2001:db8::1]:7000")
	tests := []struct {
		name      string
		peer      netip.AddrPort
		seeds     []netip.AddrPort
		tolerance int
		key       string
	}{
		{"right", good, []netip.AddrPort{good}, 1, ""},
		{"no seeds", good, nil, 1, "seeds"},
		{"peer address of another family", six, []netip.AddrPort{good}, 1, "peerAddress"},
		{"seed of another family", good, []netip.AddrPort{good, six}, 1, "seeds[1]"},
		{"more than can be borne", good, []netip.AddrPort{good}, 5, "tolerance"},
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
