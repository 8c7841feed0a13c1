// Command bench measures the bounds of the design, one line a measure.
package main

import (
	"github.com/balsampier/balsampier/cmd/bench/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
