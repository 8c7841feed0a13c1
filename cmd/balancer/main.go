// Command balancer takes packets from the fabric and forwards them.
package main

import (
	"github.com/balsampier/balsampier/cmd/balancer/cmd"
	"github.com/balsampier/balsampier/process"
)

func main() { process.Exit(cmd.Execute()) }
