// Command chiveramp-load is a load generator: it sends requests to a chiveramp system
// and reports latencies and outcomes as seen by callers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chiveramp/chiveramp/internal/load/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Execute(ctx, os.Args, os.Stdout, os.Stderr)
}
