package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
)

func (p *program) getCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "print the document in force",
		Description: `Prints the document as it was applied. With --output json, also its
revision, author and time.

Example:
   chiveramp get > document.ini`,
		Action: p.get,
	}
}

func (p *program) get(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}
	d, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	if d.Revision == 0 {
		return fmt.Errorf("get: %w: none was applied yet", operator.ErrNotFound)
	}
	return p.print(c, d, func(w io.Writer) { _, _ = fmt.Fprint(w, d.Text) })
}
