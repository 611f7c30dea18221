package command

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/load"
)

const (
	aimResident  = 32.0 // MB
	aimProcessor = 2.0  // percent of a core
	aimControl   = 26.0 // KB/s

	megabyte = 1e6
	kilobyte = 1e3
)

func idleCommand() *cli.Command {
	return &cli.Command{
		Name:  "idle",
		Usage: "print what idle instances use, the worst of them beside its aim",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "pid", Required: true, Usage: "process ids of the instances"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "how long to look"},
		},
		Action: idle,
	}
}

func idle(ctx context.Context, c *cli.Command) error {
	before, err := usages(c.IntSlice("pid"))
	if err != nil {
		return err
	}
	began := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(c.Duration("duration")):
	}
	after, err := usages(c.IntSlice("pid"))
	if err != nil {
		return err
	}
	seconds := time.Since(began).Seconds()
	var resident, processor, read, written, control []float64
	for i := range after {
		resident = append(resident, float64(after[i].Resident)/megabyte)
		processor = append(processor, (after[i].Processor-before[i].Processor).Seconds()/seconds*100)
		read = append(read, float64(after[i].Read-before[i].Read)/kilobyte/seconds)
		written = append(written, float64(after[i].Written-before[i].Written)/kilobyte/seconds)
		control = append(control, read[i]+written[i])
	}
	out := c.Root().Writer
	_, _ = fmt.Fprintf(out, "idle: %d instances over %.0f s, the worst of them\n", len(after), seconds)
	load.WriteAims(out, worst("resident memory", resident, aimResident, "MB"),
		worst("processor, of one core", processor, aimProcessor, "%"),
		worst("control bytes, received and sent", control, aimControl, "KB/s"))
	_, _ = fmt.Fprintf(out, "  received %.3f KB/s and sent %.3f KB/s at most, counted at read and write calls\n", slices.Max(read), slices.Max(written))
	return nil
}

func usages(pids []int) ([]load.Usage, error) {
	var all []load.Usage
	for _, pid := range pids {
		one, err := load.ReadUsage("/proc", pid)
		if err != nil {
			return nil, err
		}
		all = append(all, one)
	}
	return all, nil
}

func worst(name string, values []float64, most float64, unit string) load.Aim {
	sorted := slices.Sorted(slices.Values(values))
	return load.Aim{
		Name: name, Got: sorted[len(sorted)-1], Most: most, Unit: unit,
		Extra: fmt.Sprintf("median %.3f", sorted[len(sorted)/2]),
	}
}
