package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/operator"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// revisionHeader starts the first line of a file written by edit --begin. The revision follows.
const revisionHeader = "# chiveramp revision "

const fileMode = 0o644

// editBeginOutput is the output of edit --begin.
type editBeginOutput struct {
	File     string `json:"file"`
	Revision uint64 `json:"revision"`
}

func (p *program) editCommand() *cli.Command {
	return &cli.Command{
		Name:  "edit",
		Usage: "edit the document in force, in two steps",
		Description: `The first step writes the document to a new file, the second applies the
file if nobody else has applied a document in between. No editor is started.

Example:
   chiveramp edit --begin work.ini
   (change work.ini)
   chiveramp edit --commit work.ini`,
		Flags: append(applyFlags(),
			&cli.StringFlag{Name: "begin", Usage: "write the document to this new `FILE`"},
			&cli.StringFlag{Name: "commit", Usage: "apply this `FILE`"}),
		Action: p.edit,
	}
}

func (p *program) edit(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}
	if c.IsSet("begin") == c.IsSet("commit") {
		return badInput("edit: want one of --begin FILE and --commit FILE")
	}
	if c.IsSet("begin") {
		return p.editBegin(ctx, c, c.String("begin"))
	}
	return p.editCommit(ctx, c, c.String("commit"))
}

func (p *program) editBegin(ctx context.Context, c *cli.Command, path string) error {
	d, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	text := fmt.Sprintf("%s%d\n%s", revisionHeader, d.Revision, d.Text)
	if err := writeNew(path, text); err != nil {
		return badInput("edit --begin: %v", err)
	}
	return p.print(c, editBeginOutput{File: path, Revision: d.Revision}, func(w io.Writer) {
		linef(w, "revision %d written to %s; change it, then: chiveramp edit --commit %s", d.Revision, path, path)
	})
}

// writeNew creates the file. It fails if the file exists.
func writeNew(path, text string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return err
	}
	if _, err := f.WriteString(text); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func (p *program) editCommit(ctx context.Context, c *cli.Command, path string) error {
	text, err := p.readFile(path)
	if err != nil {
		return err
	}
	revision, body, err := splitRevisionHeader(path, string(text))
	if err != nil {
		return err
	}
	if _, err := profile.Parse(path, []byte(body)); err != nil {
		return err
	}
	before, err := fetchDocument(ctx, c)
	if err != nil {
		return err
	}
	return p.submit(ctx, c, before, operator.Edit{Expect: revision, Author: c.String("author"), Text: body})
}

func splitRevisionHeader(path, text string) (revision uint64, body string, err error) {
	first, body, _ := strings.Cut(text, "\n")
	digits, found := strings.CutPrefix(strings.TrimSpace(first), revisionHeader)
	revision, err = strconv.ParseUint(digits, 10, 64)
	if !found || err != nil {
		return 0, "", badInput("edit --commit: %s: first line is %q, want %q as edit --begin wrote it", path, first, revisionHeader+"N")
	}
	return revision, body, nil
}
