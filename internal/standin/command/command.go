// Package command implements the command line of chiveramp-standin.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

const (
	exitFailed = 1
	exitUsage  = 2

	shutdownTimeout = 30 * time.Second
)

var errUsage = errors.New("usage")

// Execute runs the command line and returns the exit code: 0 for success, 1 if
// the stand-in failed or crashed, 2 for an invalid command line.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "chiveramp-standin",
		Usage:          "run stand-ins for engines, services and other dependencies, for tests and the demonstration",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{engineCommand(), serviceCommand(), linkCommand(), memberCommand(), platformCommand(), weightsCommand()},
	}
	for _, c := range root.Commands {
		c.OnUsageError = usageError
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "chiveramp-standin:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w: %w", errUsage, err)
}

// printReady prints the line that announces that a stand-in is listening, and
// its address.
func printReady(c *cli.Command, kind, name, address string) {
	_, _ = fmt.Fprintf(c.Root().Writer, "ready %s %s %s\n", kind, name, address)
}

func listenFlag() cli.Flag {
	return &cli.StringFlag{Name: "listen", Value: "127.0.0.1:0", Usage: "`ADDRESS` to listen on, with port 0 for any free port"}
}
