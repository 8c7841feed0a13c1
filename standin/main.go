// Command standin plays the fabric, a backend server or a caller.
package main

import (
	"github.com/balsampier/balsampier/process"
	"github.com/balsampier/balsampier/standin/cmd"
)

func main() { process.Exit(cmd.Execute()) }
