package command

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/core/fleet"
	"github.com/chiveramp/chiveramp/internal/standin/engine"
)

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:  "engine",
		Usage: "run a stand-in for a model engine",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "engine", Usage: "name that the engine returns in its answers"},
			&cli.StringFlag{Name: "memory", Value: "48GiB", Usage: "accelerator memory"},
			&cli.StringFlag{Name: "kv", Value: "4GiB", Usage: "memory reserved for the KV cache"},
			&cli.StringFlag{Name: "models", Usage: "models loaded at the start, as `NAME[=SIZE],...`"},
			&cli.BoolFlag{Name: "checks", Usage: "reject orders with an outdated fencing token"},
			&cli.DurationFlag{Name: "step", Value: 5 * time.Millisecond, Usage: "time between tokens"},
			&cli.DurationFlag{Name: "prefill", Value: time.Millisecond, Usage: "prefill time of 100 prompt tokens"},
			&cli.DurationFlag{Name: "load-time", Value: time.Second, Usage: "time to load the weights of a model"},
			&cli.StringFlag{Name: "weights", Usage: "`ADDRESS` of the weight store to load from, instead of the fixed load time"},
			&cli.StringFlag{Name: "crash-on", Usage: "crash on prompts that contain the `WORD`"},
		},
		Action: runEngine,
	}
}

func runEngine(ctx context.Context, c *cli.Command) error {
	opts, err := engineOptions(c)
	if err != nil {
		return err
	}
	server := engine.New(opts...)
	if err = server.Start(ctx, c.String("listen")); err != nil {
		return err
	}
	printReady(c, "engine", c.String("name"), server.Address())
	done := make(chan struct{})
	var group errgroup.Group
	group.Go(func() error {
		defer close(done)
		return server.Wait()
	})
	select {
	case <-done:
		return group.Wait()
	case <-ctx.Done():
	}
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}

func engineOptions(c *cli.Command) ([]engine.Option, error) {
	memory, err := parseSize(c.String("memory"))
	if err != nil {
		return nil, fmt.Errorf("%w: --memory: %w", errUsage, err)
	}
	kv, err := parseSize(c.String("kv"))
	if err != nil {
		return nil, fmt.Errorf("%w: --kv: %w", errUsage, err)
	}
	opts := []engine.Option{
		engine.WithName(c.String("name")),
		engine.WithMemory(memory),
		engine.WithKVCache(kv),
		engine.WithFenceChecks(c.Bool("checks")),
		engine.WithStepTime(c.Duration("step")),
		engine.WithPrefillTime(c.Duration("prefill")),
		engine.WithLoadTime(c.Duration("load-time")),
		engine.WithWeightStore(c.String("weights")),
		engine.WithFaults(engine.Faults{CrashOn: c.String("crash-on")}),
	}
	models, err := modelOptions(c.String("models"))
	if err != nil {
		return nil, fmt.Errorf("%w: --models: %w", errUsage, err)
	}
	return append(opts, models...), nil
}

func modelOptions(text string) ([]engine.Option, error) {
	var opts []engine.Option
	for item := range strings.SplitSeq(text, ",") {
		name, size, hasSize := strings.Cut(strings.TrimSpace(item), "=")
		switch {
		case name == "":
		case hasSize:
			bytes, err := parseSize(size)
			if err != nil {
				return nil, err
			}
			opts = append(opts, engine.WithModel(fleet.Model(name), bytes))
		default:
			opts = append(opts, engine.WithModels(fleet.Model(name)))
		}
	}
	return opts, nil
}

// parseSize parses a number of bytes with an optional unit: KiB, MiB or GiB.
func parseSize(text string) (int64, error) {
	units := []struct {
		suffix string
		bytes  float64
	}{
		{"KiB", 1 << 10},
		{"MiB", 1 << 20},
		{"GiB", 1 << 30},
		{"", 1},
	}
	for _, unit := range units {
		number, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		value, err := strconv.ParseFloat(number, 64)
		if err != nil || value < 0 {
			break
		}
		return int64(value * unit.bytes), nil
	}
	return 0, fmt.Errorf("size %q: want a number with KiB, MiB or GiB", text)
}
