package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "make an instance leave once its requests in flight are done",
		ArgsUsage: "INSTANCE",
		Description: `The instance is no longer handed out to callers, passes on what it dispatches,
finishes its requests in flight and then exits.

Example:
   chiveramp drain litoral-1a`,
		Action: p.drain,
	}
}

func (p *program) drain(ctx context.Context, c *cli.Command) error {
	name, err := oneArgument(c, "INSTANCE")
	if err != nil {
		return err
	}
	r, err := call(ctx, c, func(ctx context.Context, o *operator.Client) (operator.DrainResult, error) {
		return o.Drain(ctx, name)
	})
	if err != nil {
		return err
	}
	return p.print(c, r, func(w io.Writer) {
		linef(w, "%s is %s, %d requests in flight", r.Instance, r.State, r.Running)
	})
}
