// Command chiveramp-check is a model checker: it explores the reachable states of models
// that run the code of the core, and reports violated invariants.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chiveramp/chiveramp/internal/explore/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Execute(ctx, os.Args, os.Stdout, os.Stderr)
}
