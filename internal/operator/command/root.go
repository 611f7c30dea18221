// Package command implements the operators' command-line program, one file per command.
package command

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"
)

const rootDescription = `Operators drive chiveramp by editing one document of profiles, models and
services. What is wrong with a late answer shows in status, profiles and
explain, in this order.

Exit codes:
   0  done
   1  refused by the system
   2  bad input
   3  no instance reached, or the outcome is unknown
   4  accepted, but not yet in force everywhere

Example:
   chiveramp --address 10.0.0.1:7070 --token file:/run/token status`

// program holds the streams and the clock that the commands share.
type program struct {
	in    io.Reader
	out   io.Writer
	err   io.Writer
	now   func() time.Time
	pause func(ctx context.Context, wait time.Duration) error
}

// Option configures the program.
type Option func(*program)

// WithStreams sets the standard streams. There is no default.
func WithStreams(in io.Reader, out, err io.Writer) Option {
	return func(p *program) { p.in, p.out, p.err = in, out, err }
}

// WithClock replaces the clock and the sleep function, for tests.
func WithClock(now func() time.Time, pause func(ctx context.Context, wait time.Duration) error) Option {
	return func(p *program) { p.now, p.pause = now, pause }
}

// Run runs the command given by args and returns the exit code of the process.
func Run(ctx context.Context, args []string, options ...Option) ExitCode {
	p := &program{now: time.Now, pause: sleep}
	for _, o := range options {
		o(p)
	}
	err := p.root().Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintf(p.err, "chiveramp: %s\n", errorWithHint(err))
	}
	return exitCode(err)
}

func (p *program) root() *cli.Command {
	root := &cli.Command{
		Name:                  "chiveramp",
		Usage:                 "drive a chiveramp system by its profiles",
		Description:           rootDescription,
		Flags:                 connectionFlags(),
		Commands:              p.commands(),
		Reader:                p.in,
		Writer:                p.out,
		ErrWriter:             p.err,
		HideVersion:           true,
		EnableShellCompletion: true,
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		Before:         validateOutputFlag,
		Action:         rootAction,
	}
	for _, c := range append(root.Commands, root) {
		c.OnUsageError = usageError
	}
	return root
}

func (p *program) commands() []*cli.Command {
	return []*cli.Command{
		p.applyCommand(),
		p.checkCommand(),
		p.getCommand(),
		p.diffCommand(),
		p.editCommand(),
		p.statusCommand(),
		p.profilesCommand(),
		p.explainCommand(),
		p.drainCommand(),
		p.tokenCommand(),
		p.versionCommand(),
	}
}

func rootAction(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return badInput("unknown command %q, want one of apply, check, get, diff, edit, status, profiles, explain, drain, token, version, completion", c.Args().First())
	}
	return cli.ShowRootCommandHelp(c)
}

func usageError(_ context.Context, c *cli.Command, err error, _ bool) error {
	return badInput("%s: %v (see chiveramp help %s)", c.Name, err, c.Name)
}

func sleep(ctx context.Context, wait time.Duration) error {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-t.C:
		return nil
	}
}
