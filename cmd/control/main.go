// Command control accepts rule files and keeps the membership.
package main

import (
	_ "time/tzdata" // zone tables are compiled from the embedded time zone data

	"github.com/balsampier/balsampier/cmd/control/cmd"

	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
