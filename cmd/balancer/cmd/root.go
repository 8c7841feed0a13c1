// Package cmd defines the command line of the balancer.
package cmd

import (
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/cmd/balancer/app"
	"github.com/balsampier/balsampier/process"
)

// Execute parses the command line and runs the balancer.
func Execute() error { return process.Execute(newRoot()) }

func newRoot() *cobra.Command {
	return process.NewCommand[app.Settings]("balancer",
		"Forward packets from the fabric to agents", app.Run)
}
