package command

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/chiveramp/chiveramp/internal/standin/platform"
)

const readHeaderTimeout = 10 * time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "run a stand-in for the platform's key-value store and service registry",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "writes", Usage: "accepted writes per second, 0 for no limit"},
			&cli.FloatFlag{Name: "reads", Usage: "accepted reads per second, 0 for no limit"},
		},
		Action: runPlatform,
	}
}

func runPlatform(ctx context.Context, c *cli.Command) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", c.String("listen"))
	if err != nil {
		return fmt.Errorf("listen %s: %w", c.String("listen"), err)
	}
	store := platform.NewServer(platform.WithRateLimits(c.Float("writes"), c.Float("reads")))
	server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: readHeaderTimeout}
	printReady(c, "platform", "store", listener.Addr().String())
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		return server.Close() // pending watches would block a graceful shutdown
	})
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return group.Wait()
}
