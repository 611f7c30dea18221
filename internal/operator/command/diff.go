package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// diffOutput is the output of diff.
type diffOutput struct {
	Revision uint64           `json:"revision"`
	Author   string           `json:"author"`
	Changes  []profile.Change `json:"changes"`
}

func (p *program) diffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show what applying a document would change",
		ArgsUsage: "FILE (- for standard input)",
		Description: `Compares the document in force with the file, section by section.

Example:
   chiveramp diff examples/guaiba.ini`,
		Action: p.diff,
	}
}

func (p *program) diff(ctx context.Context, c *cli.Command) error {
	name, text, err := p.readDocument(c)
	if err != nil {
		return err
	}
	after, err := profile.Parse(name, text)
	if err != nil {
		return err
	}
	d, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	before, err := parseInForce(d)
	if err != nil {
		return err
	}
	v := diffOutput{Revision: d.Revision, Author: d.Author, Changes: profile.Diff(before, after)}
	return p.print(c, v, v.write)
}

func parseInForce(d operator.Document) (profile.Document, error) {
	if d.Revision == 0 {
		return profile.Document{}, nil
	}
	return profile.Parse("document in force", []byte(d.Text))
}

func (d diffOutput) write(w io.Writer) {
	if len(d.Changes) == 0 {
		linef(w, "no change to revision %d", d.Revision)
		return
	}
	linef(w, "changes to revision %d by %s:", d.Revision, orDash(d.Author))
	for _, change := range d.Changes {
		linef(w, "  %s", change)
	}
}
