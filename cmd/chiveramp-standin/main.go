// Command chiveramp-standin runs small stand-ins for the platform, model engines, plain
// services and network links. They are used by tests and the demo.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chiveramp/chiveramp/internal/standin/command"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	return command.Execute(ctx, os.Args, os.Stdout, os.Stderr)
}
