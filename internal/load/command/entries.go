package command

import (
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/pkg/client"
)

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name:  "entries",
		Usage: "ask the system which addresses a profile's callers shall use, the best first",
		Flags: []cli.Flag{
			entryFlag(),
			&cli.StringFlag{Name: "profile", Required: true, Usage: "`NAME` of the profile"},
		},
		Action: entries,
	}
}

func entries(ctx context.Context, c *cli.Command) error {
	caller := client.New(c.StringSlice("entry"))
	defer caller.Close()
	list, err := caller.Entries(ctx, c.String("profile"))
	if err != nil {
		return err
	}
	for _, e := range list {
		if _, err = fmt.Fprintf(c.Root().Writer, "%s %s %s\n", e.Address, e.Region, e.DataCentre); err != nil {
			return err
		}
	}
	return nil
}
