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
	maxResidentMB         = 32.0
	maxCPUPercent         = 2.0 // percent of a core
	maxControlKBPerSecond = 26.0

	megabyte = 1e6
	kilobyte = 1e3
)

func idleCommand() *cli.Command {
	return &cli.Command{
		Name:  "idle",
		Usage: "print the resource usage of idle instances and compare the highest values with their limits",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "pid", Required: true, Usage: "process ids of the instances"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "length of the measurement"},
		},
		Action: idle,
	}
}

func idle(ctx context.Context, c *cli.Command) error {
	before, err := readUsages(c.IntSlice("pid"))
	if err != nil {
		return err
	}
	start := time.Now()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(c.Duration("duration")):
	}
	after, err := readUsages(c.IntSlice("pid"))
	if err != nil {
		return err
	}
	seconds := time.Since(start).Seconds()
	var resident, cpu, read, written, control []float64
	for i := range after {
		resident = append(resident, float64(after[i].ResidentBytes)/megabyte)
		cpu = append(cpu, (after[i].CPUTime-before[i].CPUTime).Seconds()/seconds*100)
		read = append(read, float64(after[i].ReadBytes-before[i].ReadBytes)/kilobyte/seconds)
		written = append(written, float64(after[i].WrittenBytes-before[i].WrittenBytes)/kilobyte/seconds)
		control = append(control, read[i]+written[i])
	}
	out := c.Root().Writer
	_, _ = fmt.Fprintf(out, "idle: highest usage of %d instances over %.0f s\n", len(after), seconds)
	load.WriteObjectives(out, worstObjective("resident memory", resident, maxResidentMB, "MB"),
		worstObjective("processor, of one core", cpu, maxCPUPercent, "%"),
		worstObjective("control bytes, received and sent", control, maxControlKBPerSecond, "KB/s"))
	_, _ = fmt.Fprintf(out, "  received %.3f KB/s and sent %.3f KB/s at most, counted at read and write system calls\n", slices.Max(read), slices.Max(written))
	return nil
}

func readUsages(pids []int) ([]load.Usage, error) {
	var usages []load.Usage
	for _, pid := range pids {
		usage, err := load.ReadUsage("/proc", pid)
		if err != nil {
			return nil, err
		}
		usages = append(usages, usage)
	}
	return usages, nil
}

func worstObjective(name string, values []float64, limit float64, unit string) load.Objective {
	sorted := slices.Sorted(slices.Values(values))
	return load.Objective{
		Name: name, Measured: sorted[len(sorted)-1], Max: limit, Unit: unit,
		Note: fmt.Sprintf("median %.3f", sorted[len(sorted)/2]),
	}
}
