package cmd

import (
	"net"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier/process/processtest"
)

func TestWrongSettings(t *testing.T) {
	u, err := net.ListenPacket("udp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer func() { _ = u.Close() }()
	settings := func(d string) string {
		return processtest.Common(d) + "peerAddress: 127.0.0.1:0\ncontrol: [\"127.0.0.1:7000\"]\n" +
			"services:\n  - {address: \"127.0.0.1:8443\", bind: \"127.0.0.1:0\"}\n"
	}
	used := u.LocalAddr().String()
	processtest.Check(t, newRoot, settings, []processtest.Fault{
		{Name: "peer port in use", Old: "peerAddress: 127.0.0.1:0", New: "peerAddress: " + used, WantInError: []string{used, "change it in the settings"}},
		{Name: "service port in use", Old: `bind: "127.0.0.1:0"`, New: `bind: "` + used + `"`, WantInError: []string{used, "change it in the settings"}},
		{Name: "no control", Old: `control: ["127.0.0.1:7000"]`, New: "", WantInError: []string{"control"}},
	})
}
