package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/standin/link"
)

func linkCommand() *cli.Command {
	return &cli.Command{
		Name:  "link",
		Usage: "run a stand-in for the network link between two data centres",
		Flags: []cli.Flag{
			listenFlag(),
			&cli.StringFlag{Name: "to", Required: true, Usage: "`ADDRESS` to relay connections to"},
			&cli.StringFlag{Name: "admin", Value: "127.0.0.1:0", Usage: "`ADDRESS` of the admin interface, which changes the settings at run time"},
			&cli.DurationFlag{Name: "latency", Usage: "one-way latency"},
			&cli.FloatFlag{Name: "rate", Usage: "bits per second in each direction, 0 for no limit"},
			&cli.BoolFlag{Name: "cut", Usage: "start with the link cut"},
		},
		Action: runLink,
	}
}

func runLink(ctx context.Context, c *cli.Command) error {
	settings := link.Settings{
		Latency: float64(c.Duration("latency")) / float64(time.Millisecond),
		Rate:    c.Float("rate"),
		Cut:     c.Bool("cut"),
	}
	server := link.New(c.String("to"), settings)
	if err := server.Start(ctx, c.String("listen"), c.String("admin")); err != nil {
		return err
	}
	printReady(c, "link", server.Admin(), server.Address())
	<-ctx.Done()
	return server.Close()
}
