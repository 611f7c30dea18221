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

const headerTime = 10 * time.Second

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:  "platform",
		Usage: "the platform's key-value service and instance list",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.FloatFlag{Name: "writes", Usage: "writes a second that are taken, 0 for no limit"},
			&cli.FloatFlag{Name: "reads", Usage: "reads a second that are taken, 0 for no limit"},
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
	server := &http.Server{Handler: store.Handler(), ReadHeaderTimeout: headerTime}
	ready(c, "platform", "store", listener.Addr().String())
	var group errgroup.Group
	group.Go(func() error {
		<-ctx.Done()
		return server.Close() // waits would hold a graceful end back
	})
	if err = server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return group.Wait()
}
