// Package command implements the command line of chiveramp-load, with one file
// per command.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/load"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	exitFailed = 1
	exitUsage  = 2
)

var (
	errUsage      = errors.New("usage")
	errIncomplete = errors.New("not every answer was complete")
)

// Execute runs the command line and returns the exit code: 0 for success, 1 if
// the command failed, 2 for an invalid command line. The send and compare
// commands also fail if an answer was not complete.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "chiveramp-load",
		Usage:          "send requests to a chiveramp system and report latency and outcomes as seen by callers",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			awaitCommand(), compareCommand(), entriesCommand(), idleCommand(), portsCommand(),
			runCommand(), sendCommand(),
		},
	}
	for _, c := range root.Commands {
		c.OnUsageError = usageError
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "chiveramp-load:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitFailed
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w: %w", errUsage, err)
}

func entryFlag() cli.Flag {
	return &cli.StringSliceFlag{Name: "entry", Required: true, Usage: "`ADDRESS` of the [caller] listener of one or more instances, tried in order"}
}

func documentFlag() cli.Flag {
	return &cli.StringFlag{Name: "document", Required: true, Usage: "`FILE` with the current document, which defines the ranks of profiles"}
}

func standinFlag() cli.Flag {
	return &cli.BoolFlag{Name: "standin", Usage: "the engines are stand-ins: compare each answer with the expected text"}
}

func callersFlag() cli.Flag {
	return &cli.IntFlag{Name: "callers", Value: 1, Usage: "number of independent callers that the requests are spread over"}
}

func readDocument(path string) (profile.Document, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return profile.Document{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	document, err := profile.Parse(path, text)
	if err != nil {
		return profile.Document{}, fmt.Errorf("%w: %w", errUsage, err)
	}
	return document, nil
}

// newValidator returns the validator of answers selected by the command line.
func newValidator(c *cli.Command) load.Validator {
	if !c.Bool("standin") {
		return load.NonEmptyText
	}
	return func(call load.Call, text string) bool {
		if call.Kind == load.KindService {
			return load.NonEmptyText(call, text)
		}
		return text == engine.AnswerTo(call.Target, call.Prompt, call.MaxTokens)
	}
}
