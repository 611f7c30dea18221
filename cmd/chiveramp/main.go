// Command chiveramp is the command-line client for operators.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/chiveramp/chiveramp/internal/operator/command"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := command.Run(ctx, os.Args, command.WithStreams(os.Stdin, os.Stdout, os.Stderr))
	stop()
	os.Exit(int(code))
}
