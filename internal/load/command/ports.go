package command

import (
	"context"
	"fmt"
	"net"

	"github.com/urfave/cli/v3"
)

func portsCommand() *cli.Command {
	return &cli.Command{
		Name:   "ports",
		Usage:  "print unused loopback addresses, one per line",
		Flags:  []cli.Flag{&cli.IntFlag{Name: "count", Value: 1, Usage: "number of addresses"}},
		Action: ports,
	}
}

func ports(ctx context.Context, c *cli.Command) error {
	var config net.ListenConfig
	for range c.Int("count") {
		listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			return fmt.Errorf("ports: %w", err)
		}
		defer func() { _ = listener.Close() }() // stays open until the end so that no port is returned twice
		if _, err = fmt.Fprintln(c.Root().Writer, listener.Addr()); err != nil {
			return fmt.Errorf("ports: %w", err)
		}
	}
	return nil
}
