// Command bench measures the system against its design bounds and prints one
// line for each measure.
package main

import (
	"github.com/balsampier/balsampier/cmd/bench/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
