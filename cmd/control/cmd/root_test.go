package cmd

import (
	"testing"

	"github.com/balsampier/balsampier/process/processtest"
)

func TestWrongSettings(t *testing.T) {
	settings := func(d string) string {
		return processtest.Common(d) + "peerAddress: 127.0.0.1:0\ndataFolder: " + d + "/data\n" +
			"instances: [{name: one, peerAddress: \"127.0.0.1:7000\"}]\n"
	}
	processtest.Check(t, newRoot, settings, []processtest.Fault{
		{Name: "not listed", Old: "{name: one", New: "{name: two", WantInError: []string{"instances", "list this instance too"}},
		{Name: "short lease", New: "leaseTerm: 10ms", WantInError: []string{"leaseTerm", "write at least 1s"}},
		{Name: "foreign address", Old: "peerAddress: 127.0.0.1:0", New: "peerAddress: 192.0.2.1:7000", WantInError: []string{"peerAddress", "change it in the settings"}},
	})
}
