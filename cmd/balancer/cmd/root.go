// Package cmd is the command line of the balancer.
package cmd

import (
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/cmd/balancer/app"
	"github.com/balsampier/balsampier/process"
)

// Execute runs the command line.
func Execute() error { return process.Execute(newRoot()) }

func newRoot() *cobra.Command {
	return process.NewCommand[app.Settings]("balancer",
		"Take packets from the fabric and forward them to agents", app.Run)
}
