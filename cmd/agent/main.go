// Command agent runs the agent beside a proxy: it holds connections to all replicas of the control plane and passes their
// configuration, server lists and orders on to its proxy.
package main

import (
	"context"
	"io"
	"os"

	"pepperfall.example/pepperfall/internal/dataplane/agent"
	"pepperfall.example/pepperfall/internal/platform/process"
)

const gcPercent = 30 // peak memory is paid for, and there is little to collect

func main() { os.Exit(Main(context.Background(), os.Args, os.Stdout, os.Stderr)) }

// Main runs the command and returns its exit code.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	return process.Main(ctx, process.Daemon{Name: "agent", Usage: "the agent beside a proxy", GC: gcPercent, Run: run}, args, stdout, stderr)
}

func run(ctx context.Context, e *process.Env) error {
	h := agent.New(agent.ConfigFromSettings(e.Settings, e.World.Now()), e.World, e.Log)
	go func() {
		leave := e.Leave
		for {
			select {
			case <-ctx.Done():
				return
			case <-leave:
				leave = nil
				h.Leave("told to end")
			case s := <-e.Changed:
				h.SetSettings(s)
			}
		}
	}()
	return h.Run(ctx)
}
