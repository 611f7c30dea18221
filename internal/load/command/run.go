package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/load"
	"github.com/chiveramp/chiveramp/pkg/client"
)

const outputMode = 0o644

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a load experiment from a plan and report latency and outcomes by rank",
		Description: `Requests are sent on schedule (open loop), even if earlier answers are late.

Example:
   chiveramp-load run --entry 10.1.1.11:7080 --plan examples/flood.ini --plot flood.svg`,
		Flags: []cli.Flag{
			entryFlag(), standinFlag(),
			&cli.StringFlag{Name: "plan", Required: true, Usage: "INI `FILE` with the run and its stages"},
			&cli.StringFlag{Name: "plot", Usage: "SVG `FILE` to write the time to first token to"},
			&cli.StringFlag{Name: "samples", Usage: "`FILE` to write all samples to, one JSON object per line"},
		},
		Action: runPlan,
	}
}

func runPlan(ctx context.Context, c *cli.Command) error {
	path := c.String("plan")
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("%w: --plan: %w", errUsage, err)
	}
	plan, err := load.ParsePlan(path, text)
	if err != nil {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	document, err := readDocument(plan.Document)
	if err != nil {
		return err
	}
	calls, err := plan.Calls(document)
	if err != nil {
		return fmt.Errorf("%w: %s: %w", errUsage, path, err)
	}
	target := load.NewSystem(plan.Callers, c.StringSlice("entry"), newValidator(c), client.WithMaxWait(plan.Deadline))
	defer target.Close()
	samples := load.NewRunner(target, plan.MaxInFlight, plan.Deadline, nil).Run(ctx, calls)
	load.WriteReport(c.Root().Writer, samples, document)
	return writeFiles(c, samples, plan.PlotInterval)
}

func writeFiles(c *cli.Command, samples []load.Sample, plotInterval time.Duration) error {
	if path := c.String("plot"); path != "" {
		var plot bytes.Buffer
		if err := load.WritePlot(&plot, samples, plotInterval); err != nil {
			return err
		}
		if err := os.WriteFile(path, plot.Bytes(), outputMode); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	if path := c.String("samples"); path != "" {
		var lines bytes.Buffer
		encoder := json.NewEncoder(&lines)
		for _, s := range samples {
			if err := encoder.Encode(s); err != nil {
				return fmt.Errorf("--samples: %w", err)
			}
		}
		if err := os.WriteFile(path, lines.Bytes(), outputMode); err != nil {
			return fmt.Errorf("--samples: %w", err)
		}
	}
	return nil
}
