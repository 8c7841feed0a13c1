// Command control accepts rule files and keeps the membership.
package main

import (
	_ "time/tzdata" // zones are compiled from the built-in data

	"github.com/balsampier/balsampier/cmd/control/cmd"

	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
