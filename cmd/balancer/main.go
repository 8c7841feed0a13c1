// Command balancer forwards packets from the fabric to agents.
package main

import (
	"github.com/balsampier/balsampier/cmd/balancer/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
