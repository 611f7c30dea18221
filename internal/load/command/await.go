package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
)

const pollInterval = 50 * time.Millisecond

func awaitCommand() *cli.Command {
	return &cli.Command{
		Name:  "await",
		Usage: "wait until URLs such as http://ADDRESS/ready answer with status 200",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "timeout", Value: 20 * time.Second, Usage: "maximum time to wait for all URLs"},
		},
		ArgsUsage: "URL...",
		Action:    await,
	}
}

func await(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	for _, url := range c.Args().Slice() {
		if err := awaitOne(ctx, url); err != nil {
			return fmt.Errorf("await %s: %w", url, err)
		}
	}
	return nil
}

func awaitOne(ctx context.Context, url string) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for !answersOK(ctx, url) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

func answersOK(ctx context.Context, url string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
