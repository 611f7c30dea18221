package command

import (
	"context"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
)

func (p *program) explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "show what was decided for one request, hop by hop, and why",
		ArgsUsage: "REQUEST",
		Description: `The request id is in the Chiveramp-Request header of every answer.

Example:
   chiveramp explain 6f1d2c`,
		Action: p.explain,
	}
}

func (p *program) explain(ctx context.Context, c *cli.Command) error {
	request, err := requireOneArgument(c, "REQUEST")
	if err != nil {
		return err
	}
	t, err := call(ctx, c, func(ctx context.Context, o *operator.Client) (operator.Explanation, error) {
		return o.Explain(ctx, request)
	})
	if err != nil {
		return err
	}
	return p.print(c, t, func(w io.Writer) { writeExplanation(w, t) })
}

func writeExplanation(w io.Writer, t operator.Explanation) {
	outcome := t.Outcome
	if outcome == "" {
		outcome = "running"
	}
	linef(w, "request %s: profile %s, model %s, outcome %s", t.Request, orDash(t.Profile), orDash(t.Model), outcome)
	var rows [][]string
	for _, s := range t.Steps {
		after := s.Time.Sub(t.Steps[0].Time).Round(time.Microsecond)
		rows = append(rows, []string{"+" + after.String(), s.Instance, s.Step, orDash(s.Peer), s.Decision, orDash(s.Why)})
	}
	writeTable(w, "steps", "AFTER INSTANCE STEP PEER DECISION WHY", rows)
}
