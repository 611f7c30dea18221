package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/pkg/client"
)

func entriesCommand() *cli.Command {
	return &cli.Command{
		Name:  "entries",
		Usage: "print the entry addresses that the system gives to callers of a profile, best first",
		Flags: []cli.Flag{
			entryFlag(),
			&cli.StringFlag{Name: "profile", Required: true, Usage: "`NAME` of the profile"},
			&cli.IntFlag{Name: "least", Value: 1, Usage: "wait until every queried instance returns at least this many"},
			&cli.DurationFlag{Name: "timeout", Value: 20 * time.Second, Usage: "maximum time to wait"},
		},
		Action: entries,
	}
}

func entries(ctx context.Context, c *cli.Command) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("timeout"))
	defer cancel()
	list, err := waitForEntries(ctx, c)
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

// waitForEntries polls the instances until each one returns at least the
// requested number of entries. It returns the list of the first instance.
func waitForEntries(ctx context.Context, c *cli.Command) ([]client.Entry, error) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		first, minCount, err := queryInstances(ctx, c)
		if err == nil && minCount >= c.Int("least") {
			return first, nil
		}
		select {
		case <-ctx.Done():
			return nil, fmt.Errorf("%d entries, want %d: %w", minCount, c.Int("least"), errors.Join(ctx.Err(), err))
		case <-tick.C:
		}
	}
}

// queryInstances returns the entry list of the first instance, and the length of
// the shortest list that any instance returned.
func queryInstances(ctx context.Context, c *cli.Command) (first []client.Entry, minCount int, err error) {
	for i, address := range c.StringSlice("entry") {
		caller := client.New([]string{address}) // new each time, because a client caches its entries
		list, err := caller.Entries(ctx, c.String("profile"))
		caller.Close()
		if err != nil {
			return nil, 0, err
		}
		if i == 0 {
			first, minCount = list, len(list)
		}
		minCount = min(minCount, len(list))
	}
	return first, minCount, nil
}
