package settings

import (
	"net/netip"

	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
)

// defaultLogLevel is used if the settings contain no log level.
const defaultLogLevel = "info"

// Common holds the settings that all daemons share.
type Common struct {
	// Name identifies the instance across restarts.
	Name string `yaml:"name"`
	// DataCentre is the data centre of the instance.
	DataCentre balsampier.DataCentre `yaml:"dataCentre"`
	// OperatorAddr is the address on which operators' requests are served.
	OperatorAddr netip.AddrPort `yaml:"operatorAddress"`
	// OperatorKeyFile is the file with the key that operators must present.
	OperatorKeyFile string `yaml:"operatorKeyFile"`
	// PeerKeyFile is the file with the key that all processes share.
	PeerKeyFile string `yaml:"peerKeyFile"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel"`

	// path is the file from which the settings were read; empty if they were
	// not read from a file.
	path string
}

// SetPath sets the file from which the settings were read.
func (c *Common) SetPath(p string) { c.path = p }

// Path returns the file from which the settings were read, or an empty string.
func (c *Common) Path() string { return c.path }

// SetDefaults sets the defaults of settings that were left out.
func (c *Common) SetDefaults() {
	if c.LogLevel == "" {
		c.LogLevel = defaultLogLevel
	}
}

// Check adds a fault for each invalid setting.
func (c *Common) Check(f *Faults) {
	f.Required("name", c.Name)
	f.Addr("operatorAddress", c.OperatorAddr)
	f.File("operatorKeyFile", c.OperatorKeyFile)
	f.File("peerKeyFile", c.PeerKeyFile)
	switch c.LogLevel {
	case "debug", "info", "warn", "error":
	default:
		f.Add("logLevel", c.LogLevel, "write debug, info, warn or error")
	}
}

// Level returns the log level.
func (c *Common) Level() log.Level { return log.ParseLevel(c.LogLevel) }
