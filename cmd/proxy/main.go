// Command proxy runs a proxy: it forwards clients' requests to servers, by the configuration that the agent beside it sends.
package main

import (
	"context"
	"os"

	"pepperfall.example/pepperfall/internal/dataplane/proxy"
	"pepperfall.example/pepperfall/internal/platform/process"
)

const gcPercent = 60

func main() {
	os.Exit(process.Main(context.Background(), process.Daemon{Name: "proxy", Usage: "the proxy", GC: gcPercent, Run: run}, os.Args, os.Stdout, os.Stderr))
}

func run(ctx context.Context, e *process.Env) error {
	g, err := proxy.New(e.Settings, e.World, e.Log)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case s := <-e.Changed:
				g.SetSettings(s)
			}
		}
	}()
	return g.Run(ctx, e.Leave)
}
