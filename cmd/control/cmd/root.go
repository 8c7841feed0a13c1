// Package cmd is the command line of control.
package cmd

import (
	"github.com/balsampier/balsampier/cmd/control/app"
	"github.com/balsampier/balsampier/process"
)

// Execute runs the command line.
func Execute() error {
	return process.Execute(process.NewCommand[app.Settings]("control",
		"Accept rule files and keep the membership", app.Run))
}
