// Command balsampier is the command line for operators: it submits rule files,
// explains rules, and shows the state of processes.
package main

import (
	_ "time/tzdata" // the rule checks use this time zone data on every machine

	"github.com/balsampier/balsampier/cmd/balsampier/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
