// Command balsampier is what operators drive the system with.
package main

import (
	"github.com/balsampier/balsampier/cmd/balsampier/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
