// Command chiveramp-check looks for ways to break the system's promises, through every
// state that its core can reach.
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
