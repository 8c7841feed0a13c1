package settings

import (
	"net/netip"

	"github.com/phuslu/log"

	"github.com/balsampier/balsampier"
)

// defaultLogLevel is used where the settings name none.
const defaultLogLevel = "info"

// Common are the settings that every daemon has.
type Common struct {
	// Name identifies the instance and survives restarts.
	Name string `yaml:"name"`
	// DataCentre names where the instance stands.
	DataCentre balsampier.DataCentre `yaml:"dataCentre"`
	// OperatorAddr is the address of the operators' port.
	OperatorAddr netip.AddrPort `yaml:"operatorAddress"`
	// OperatorKeyFile holds the key that operators show.
	OperatorKeyFile string `yaml:"operatorKeyFile"`
	// PeerKeyFile holds the key that all processes share.
	PeerKeyFile string `yaml:"peerKeyFile"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `yaml:"logLevel"`

	// path is where the settings were read from; empty where they were not.
	path string
}

// SetPath notes where the settings were read from.
func (c *Common) SetPath(p string) { c.path = p }

// Path returns where the settings were read from.
func (c *Common) Path() string { return c.path }

// SetDefaults fills what was left out.
func (c *Common) SetDefaults() {
	if c.LogLevel == "" {
		c.LogLevel = defaultLogLevel
	}
}

// Check adds a fault for everything that is wrong.
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
