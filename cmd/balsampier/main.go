// Command balsampier is what operators drive the system with.
package main

import (
	_ "time/tzdata" // zones are checked by the built-in data

	"github.com/balsampier/balsampier/cmd/balsampier/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
