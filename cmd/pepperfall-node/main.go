// Command pepperfall-node is one edge node and nothing else: what `pepperfall`
// without arguments and `pepperfall serve` do, without the tools. The platform
// runs it, since each of its edge nodes has little memory.
package main

import (
	"os"

	"pepperfall.example/pepperfall/internal/edgefleet/daemon"
)

func main() { os.Exit(daemon.Main(os.Args[1:], os.Stderr)) }
