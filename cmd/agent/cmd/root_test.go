package cmd

import (
	"testing"

	"github.com/balsampier/balsampier/process/processtest"
)

func TestWrongSettings(t *testing.T) {
	settings := func(d string) string {
		return processtest.Common(d) + "peerAddress: 127.0.0.1:0\nbackendAddress: 127.0.0.1:0\ncontrol: [\"127.0.0.1:7000\"]\n" +
			"certFile: " + d + "/cert.pem\nkeyFile: " + d + "/key.pem\n"
	}
	processtest.Check(t, newRoot, settings, []processtest.Fault{
		{Name: "missing certificate", Old: "/cert.pem", New: "/none.pem", WantInError: []string{"certFile", "none.pem", "name a readable file"}},
		{Name: "certificate without its key", Old: "/key.pem", New: "/cert.pem", WantInError: []string{"read certificate", "give a matching pair"}},
		{Name: "broken certificate", Old: "/cert.pem", New: "/operator.key", WantInError: []string{"read certificate", "operator.key", "give a matching pair"}},
		{Name: "wrong class", New: "requests: [{class: first}]", WantInError: []string{"requests[0].class", "first"}},
	})
}
