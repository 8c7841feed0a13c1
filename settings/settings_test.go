package settings

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/balsampier/balsampier"
)

func TestLoad(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	qt.Assert(t, os.WriteFile(key, []byte("0123456789abcdef\n"), 0o600), qt.IsNil)
	good := "name: a\noperatorAddress: 127.0.0.1:1\noperatorKeyFile: " + key + "\npeerKeyFile: " + key + "\n"
	tests := []struct {
		name, text string
		want       []string
	}{
		{"whole", good, nil},
		{"unknownKey", good + "colour: red\n", []string{"line 5: field colour not found"}},
		{"badAddress", "operatorAddress: here\n", []string{"operatorAddress", "here"}},
		{"allFaultsAtOnce", "logLevel: loud\n", []string{
			`name: "": set it`, `operatorAddress: "": write address:port`, `peerKeyFile: "": name a file`,
			`logLevel: "loud": write debug, info, warn or error`,
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := filepath.Join(dir, tt.name)
			c.Assert(os.WriteFile(p, []byte(tt.text), 0o600), qt.IsNil)
			err := Load(p, &Common{})
			if tt.want == nil {
				c.Assert(err, qt.IsNil)
				return
			}
			c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindInvalid)
			for _, w := range tt.want {
				c.Check(err.Error(), qt.Contains, w)
			}
		})
	}
}

func TestReadKeyRefusesShortKeys(t *testing.T) {
	c := qt.New(t)
	p := filepath.Join(t.TempDir(), "key")
	c.Assert(os.WriteFile(p, []byte("short\n"), 0o600), qt.IsNil)
	_, err := ReadKey(p)
	c.Assert(balsampier.KindOf(err), qt.Equals, balsampier.KindInvalid)
}
