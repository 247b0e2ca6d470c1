// Command pepperfall is one edge node on real sockets. It takes its settings
// from the environment (GW_CONFIG and its like), takes over a new configuration
// file on SIGHUP, and stops on SIGTERM once all that it has taken is answered.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"

	"pepperfall.example/pepperfall/internal/node"
)

const (
	exitConfig = 2
	exitServe  = 1

	memoryPart = 0.7 // of the memory limit, from where on garbage is collected harder
	gcPercent  = 400 // the heap is small: memory is spent to save CPU
)

func main() { os.Exit(run()) }

func run() int {
	hup := make(chan os.Signal, 1) // caught from the start: by default it would end the process
	signal.Notify(hup, syscall.SIGHUP)
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	runtime.GOMAXPROCS(1) // an edge node has one core
	cfg, err := node.LoadConfig(os.Getenv)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pepperfall: configuration:", err)
		return exitConfig
	}
	debug.SetGCPercent(gcPercent)
	if cfg.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(memoryPart * float64(cfg.MemoryMB) * (1 << 20)))
	}
	n, err := node.New(cfg)
	if err != nil {
		fmt.Fprintln(os.Stderr, "pepperfall:", err)
		return exitConfig
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer cancel()
	slog.Info("serving", "name", cfg.Name, "addr", n.Addr().String())
	if err := n.Run(stop, hup); err != nil {
		slog.Error("stopped", "err", err)
		return exitServe
	}
	slog.Info("stopped")
	return 0
}
