package command

import (
	"context"
	"errors"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
)

func (p *program) drainCommand() *cli.Command {
	return &cli.Command{
		Name:      "drain",
		Usage:     "make an instance leave once its requests in flight are done",
		ArgsUsage: "INSTANCE",
		Description: `The instance is no longer announced to callers, hands over the endpoints that it
dispatches for, finishes its requests in flight and then exits. Only the instance
itself accepts the call, so its own address must be among --address.

Example:
   chiveramp --address 10.1.1.11:7070 drain litoral-1a`,
		Action: p.drain,
	}
}

func (p *program) drain(ctx context.Context, c *cli.Command) error {
	name, err := requireOneArgument(c, "INSTANCE")
	if err != nil {
		return err
	}
	r, err := drainAtAny(ctx, c, name)
	if err != nil {
		return err
	}
	return p.print(c, r, func(w io.Writer) {
		linef(w, "%s is %s, %d requests in flight", r.Instance, r.State, r.Running)
	})
}

// drainAtAny calls the addresses in turn until the instance to be drained accepts the call.
// If none does, an error from a reachable instance takes precedence over ErrUnreachable.
func drainAtAny(ctx context.Context, c *cli.Command, name string) (operator.DrainResult, error) {
	drain := func(ctx context.Context, o *operator.Client) (operator.DrainResult, error) {
		return o.Drain(ctx, name)
	}
	var drainErr error
	for _, address := range c.StringSlice("address") {
		r, err := callAddresses(ctx, c, []string{address}, c.Duration("timeout"), drain)
		if err == nil || errors.Is(err, operator.ErrUncertain) {
			return r, err
		}
		if drainErr == nil || !errors.Is(err, operator.ErrUnreachable) {
			drainErr = err
		}
	}
	if drainErr == nil {
		_, drainErr = connect(c, nil)
	}
	return operator.DrainResult{}, drainErr
}
