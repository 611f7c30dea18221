package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/standin/weights"
)

func weightsCommand() *cli.Command {
	return &cli.Command{
		Name:  "weights",
		Usage: "run a stand-in for the weight store",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "rate", Value: 2, Usage: "model loads per second"},
			&cli.IntFlag{Name: "at-once", Value: 8, Usage: "concurrent model loads"},
			&cli.StringFlag{Name: "bandwidth", Value: "4GiB", Usage: "bytes per second of one load"},
		},
		Action: runWeights,
	}
}

func runWeights(ctx context.Context, c *cli.Command) error {
	bandwidth, err := parseSize(c.String("bandwidth"))
	if err != nil {
		return fmt.Errorf("%w: --bandwidth: %w", errUsage, err)
	}
	server := weights.New(
		weights.WithLimits(c.Float("rate"), c.Int("at-once")),
		weights.WithBandwidth(float64(bandwidth)),
	)
	if err := server.Start(ctx, c.String("listen")); err != nil {
		return err
	}
	printReady(c, "weights", "store", server.Address())
	<-ctx.Done()
	return server.Close()
}
