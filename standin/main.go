// Command standin runs a test fabric, backend server or caller.
package main

import (
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/standin/cmd"
)

func main() { process.Exit(cmd.Execute()) }
