// Package cmd implements the command line of control.
package cmd

import (
	"github.com/spf13/cobra"

	"github.com/balsampier/balsampier/cmd/control/app"
	"github.com/balsampier/balsampier/process"
)

// Execute runs the command line.
func Execute() error { return process.Execute(newRoot()) }

func newRoot() *cobra.Command {
	return process.NewCommand[app.Settings]("control",
		"Accept rule files and keep the membership", app.Run)
}
