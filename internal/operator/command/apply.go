package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

const (
	defaultWait  = 15 * time.Second
	pollInterval = 200 * time.Millisecond
)

// applyOutput is the output of apply and edit --commit.
type applyOutput struct {
	operator.ApplyResult
	// Lost names the instances that are out of contact. They load the document once they
	// are back.
	Lost []string `json:"lost"`
	// Unchanged means that the same document was in force already.
	Unchanged bool `json:"unchanged"`
}

func (p *program) applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "replace the document and wait until it is in force everywhere",
		ArgsUsage: "FILE (- for standard input)",
		Description: `Checks the document, replaces the one in force and waits until every
instance has it. If another operator's edit was applied first, changes nothing
and prints the author and revision of that edit.

Example:
   chiveramp apply examples/guaiba.ini`,
		Flags: append(applyFlags(),
			&cli.Uint64Flag{Name: "expect", Usage: "apply only on this revision (default: the one in force now)"}),
		Action: p.apply,
	}
}

func applyFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "author", Usage: "who applies it", Sources: cli.EnvVars("CHIVERAMP_AUTHOR", "USER"), Value: "unknown"},
		&cli.DurationFlag{Name: "wait", Usage: "longest wait until it is in force everywhere", Value: defaultWait},
	}
}

func (p *program) apply(ctx context.Context, c *cli.Command) error {
	name, text, err := p.readDocument(c)
	if err != nil {
		return err
	}
	if _, err := profile.Parse(name, text); err != nil {
		return err
	}
	before, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	expect := before.Revision
	if c.IsSet("expect") {
		expect = c.Uint64("expect")
	}
	return p.submit(ctx, c, before, operator.Edit{Expect: expect, Author: c.String("author"), Text: string(text)})
}

// submit applies the edit, unless the same text is in force already, and waits until every
// instance uses it.
func (p *program) submit(ctx context.Context, c *cli.Command, before operator.Document, e operator.Edit) error {
	if before.Revision > 0 && before.Text == e.Text {
		return p.awaitInForce(ctx, c, applyOutput{ApplyResult: operator.ApplyResult{Revision: before.Revision}, Unchanged: true})
	}
	// The instance may itself wait as long before it responds.
	timeout := c.Duration("timeout") + c.Duration("wait")
	result, err := callAddresses(ctx, c, c.StringSlice("address"), timeout, func(ctx context.Context, o *operator.Client) (operator.ApplyResult, error) {
		return o.Apply(ctx, e)
	})
	if errors.Is(err, operator.ErrUncertain) {
		result, err = confirmApplied(ctx, c, e, err)
	}
	if err != nil {
		return err
	}
	return p.awaitInForce(ctx, c, applyOutput{ApplyResult: result})
}

// confirmApplied reads the document back after an uncertain outcome. If the edit isn't in
// force, the outcome stays uncertain, since the edit may still take effect later.
func confirmApplied(ctx context.Context, c *cli.Command, e operator.Edit, uncertain error) (operator.ApplyResult, error) {
	d, err := fetchDocument(ctx, c)
	if err != nil || d.Revision <= e.Expect || d.Text != e.Text || d.Author != e.Author {
		return operator.ApplyResult{}, uncertain
	}
	return operator.ApplyResult{Revision: d.Revision}, nil
}

// awaitInForce polls the status until no instance is behind or --wait has passed, and prints
// which instances use the revision.
func (p *program) awaitInForce(ctx context.Context, c *cli.Command, a applyOutput) error {
	deadline := p.now().Add(c.Duration("wait"))
	for {
		err := a.refresh(ctx, c)
		if err == nil && len(a.Behind) == 0 && len(a.InForce) > 0 {
			return p.printApplied(c, a)
		}
		if !p.now().Before(deadline) {
			return p.reportNotInForce(c, a, err)
		}
		if err := p.pause(ctx, pollInterval); err != nil {
			return fmt.Errorf("wait for revision %d: %w", a.Revision, err)
		}
	}
}

// reportNotInForce returns errNotInForce after --wait has passed. It prints the progress,
// unless the last status call failed with err.
func (p *program) reportNotInForce(c *cli.Command, a applyOutput, err error) error {
	if err != nil {
		return fmt.Errorf("revision %d was accepted; %w: %w", a.Revision, errNotInForce, err)
	}
	if err := p.printApplied(c, a); err != nil {
		return err
	}
	return fmt.Errorf("revision %d: %w: %s", a.Revision, errNotInForce, strings.Join(a.Behind, ", "))
}

// refresh sorts the instances into InForce, Behind and Lost by their current status.
func (a *applyOutput) refresh(ctx context.Context, c *cli.Command) error {
	s, err := call(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Status, error) { return o.Status(ctx) })
	if err != nil {
		return err
	}
	a.InForce, a.Behind, a.Lost = []string{}, []string{}, []string{}
	for _, i := range s.Instances {
		switch {
		case i.Revision >= a.Revision:
			a.InForce = append(a.InForce, i.Name)
		case i.State == operator.StateLost:
			a.Lost = append(a.Lost, i.Name)
		default:
			a.Behind = append(a.Behind, i.Name)
		}
	}
	slices.Sort(a.InForce)
	slices.Sort(a.Behind)
	slices.Sort(a.Lost)
	return nil
}

func (p *program) printApplied(c *cli.Command, a applyOutput) error {
	return p.print(c, a, func(w io.Writer) {
		if a.Unchanged {
			linef(w, "nothing to change")
		}
		linef(w, "revision %d in force: %s", a.Revision, orDash(strings.Join(a.InForce, ", ")))
		if len(a.Behind) > 0 {
			linef(w, "not yet: %s", strings.Join(a.Behind, ", "))
		}
		if len(a.Lost) > 0 {
			linef(w, "not seen: %s", strings.Join(a.Lost, ", "))
		}
	})
}
