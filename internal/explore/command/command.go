// Package command implements the command line of chiveramp-check, one file per command.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/explore/models"
)

// The exit codes.
const (
	exitViolation = 1
	exitUsage     = 2
)

const (
	outputText = "text"
	outputJSON = "json"
)

var (
	errUsage = errors.New("usage")
	// errViolation: an explored model reached a state that violates its invariant.
	errViolation = errors.New("a promise is broken")
)

// Execute runs the command line and returns the exit code: 1 for a violated invariant or
// another error, 2 for invalid arguments.
func Execute(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &cli.Command{
		Name:           "chiveramp-check",
		Usage:          "search the reachable states of models of the core for violated invariants",
		Writer:         stdout,
		ErrWriter:      stderr,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Commands:       []*cli.Command{listCommand(), runCommand()},
	}
	for _, c := range root.Commands {
		c.OnUsageError = usageError
	}
	err := root.Run(ctx, args)
	if err == nil {
		return 0
	}
	_, _ = fmt.Fprintln(stderr, "chiveramp-check:", err)
	if errors.Is(err, errUsage) {
		return exitUsage
	}
	return exitViolation
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return fmt.Errorf("%w: %w", errUsage, err)
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: "output", Value: outputText, Usage: "text or json", Validator: checkOutput}
}

func checkOutput(format string) error {
	if format != outputText && format != outputJSON {
		return fmt.Errorf("output %q: want %s or %s", format, outputText, outputJSON)
	}
	return nil
}

// writeOutput writes a value in the format given by the output flag.
func writeOutput(c *cli.Command, v any, text func(io.Writer) error) error {
	w := c.Root().Writer
	if c.String("output") == outputText {
		return text(w)
	}
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	return out.Encode(v)
}

// selectModels returns the models named on the command line, or all if none is named.
func selectModels(c *cli.Command) ([]models.Model, error) {
	if c.NArg() == 0 {
		return models.All(), nil
	}
	var list []models.Model
	for _, name := range c.Args().Slice() {
		m, ok := models.Find(name)
		if !ok {
			return nil, fmt.Errorf("%w: model %q: want %s", errUsage, name, strings.Join(modelNames(), ", "))
		}
		list = append(list, m)
	}
	return list, nil
}

func modelNames() []string {
	var list []string
	for _, m := range models.All() {
		list = append(list, m.Name)
	}
	return list
}
