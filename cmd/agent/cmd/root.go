// Package cmd is the command line of the agent.
package cmd

import (
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/cmd/agent/app"
	"github.com/balsampier/balsampier/process"
)

// Execute runs the command line.
func Execute() error { return process.Execute(newRoot()) }

func newRoot() *cobra.Command {
	return process.NewCommand[app.Settings]("agent",
		"Answer the callers of the backend server beside it", app.Run)
}
