package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/standin/service"
)

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:  "service",
		Usage: "run a stand-in for a plain service",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "name", Value: "orders", Usage: "name that the service returns in its answers"},
		},
		Action: runService,
	}
}

func runService(ctx context.Context, c *cli.Command) error {
	server := service.New(c.String("name"))
	if err := server.Start(ctx, c.String("listen")); err != nil {
		return err
	}
	printReady(c, "service", c.String("name"), server.Address())
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	return server.Shutdown(shutdownCtx)
}
