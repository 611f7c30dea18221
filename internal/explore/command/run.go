package command

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/explore"
	"github.com/chiveramp/chiveramp/internal/explore/models"
)

const (
	defaultStates = 200_000
	defaultTime   = 5 * time.Minute
)

// report is the result for one model in the output of run.
type report struct {
	Model string `json:"model"`
	// Off is the mechanism that was turned off, if any.
	Off string `json:"off,omitempty"`
	// Depth is the number of steps from the start up to which all states were checked.
	Depth     int           `json:"depth"`
	States    int           `json:"states"`
	Steps     int           `json:"steps"`
	Bound     explore.Bound `json:"bound"`
	Seconds   float64       `json:"seconds"`
	Violation string        `json:"broken,omitempty"`
	Trace     []string      `json:"session,omitempty"`
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:      "run",
		Usage:     "explore models, by default all",
		ArgsUsage: "[NAME...]",
		Description: `Prints the shortest trace to a violated invariant, if there is one within the bounds.
With --off it shows which failure a mechanism prevents.

Example:
   chiveramp-check run claims
   chiveramp-check run --off read-back claims`,
		Flags: []cli.Flag{
			&cli.IntFlag{Name: "depth", Usage: "maximum number of steps from the start, 0 for no limit"},
			&cli.IntFlag{Name: "states", Value: defaultStates, Usage: "maximum number of states of each model"},
			&cli.DurationFlag{Name: "time", Value: defaultTime, Usage: "maximum time for each model"},
			&cli.StringFlag{Name: "off", Usage: "turn one `MECHANISM` off"},
			outputFlag(),
		},
		Action: runModels,
	}
}

func runModels(ctx context.Context, c *cli.Command) error {
	selected, err := selectModels(c)
	if err != nil {
		return err
	}
	off := c.String("off")
	for _, m := range selected {
		if _, ok := m.Mechanism(off); off != "" && !ok {
			return fmt.Errorf("%w: model %s has no mechanism %q", errUsage, m.Name, off)
		}
	}
	var reports []report
	var violated []string
	for _, m := range selected {
		r := exploreModel(ctx, c, m)
		reports = append(reports, r)
		if r.Violation != "" {
			violated = append(violated, m.Name)
		}
	}
	err = writeOutput(c, reports, func(w io.Writer) error { return printReports(w, reports) })
	if err == nil && len(violated) > 0 {
		err = fmt.Errorf("%w: %s", errViolation, strings.Join(violated, ", "))
	}
	return err
}

func exploreModel(ctx context.Context, c *cli.Command, m models.Model) report {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("time"))
	defer cancel()
	limits := explore.Limits{Depth: c.Int("depth"), States: c.Int("states")}
	started := time.Now()
	result := explore.Run(ctx, m.Start(c.String("off")), limits)
	r := report{
		Model: m.Name, Off: c.String("off"), Depth: result.Depth, States: result.States, Steps: result.Steps,
		Bound: result.Bound, Seconds: time.Since(started).Seconds(), Trace: result.Trace,
	}
	if result.Violation != nil {
		r.Violation = result.Violation.Error()
	}
	return r
}

func printReports(w io.Writer, reports []report) error {
	if _, err := fmt.Fprintf(w, "%-10s %6s %9s %9s %8s  %s\n", "MODEL", "DEPTH", "STATES", "STEPS", "SECONDS", "ENDED BY"); err != nil {
		return err
	}
	for _, r := range reports {
		endedBy := string(r.Bound)
		if r.Violation != "" {
			endedBy = r.Violation
		}
		line := fmt.Sprintf("%-10s %6d %9d %9d %8.1f  %s", r.Model, r.Depth, r.States, r.Steps, r.Seconds, endedBy)
		if _, err := fmt.Fprintln(w, strings.Join(append([]string{line}, r.Trace...), "\n  ")); err != nil {
			return err
		}
	}
	return nil
}
