// Command agent runs beside a backend server and answers its callers.
package main

import (
	"github.com/balsampier/balsampier/cmd/agent/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
