package command

import (
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/pkg/profile"
)

// stdinName stands for standard input in place of a file name.
const stdinName = "-"

// readDocument reads the document from the file named by the only argument.
func (p *program) readDocument(c *cli.Command) (name string, text []byte, err error) {
	if c.Args().Len() != 1 {
		return "", nil, badInput("%s: got %d arguments, want one FILE", c.Name, c.Args().Len())
	}
	name = c.Args().First()
	text, err = p.readFile(name)
	return name, text, err
}

func (p *program) readFile(name string) ([]byte, error) {
	in := p.in
	if name != stdinName {
		f, err := os.Open(name)
		if err != nil {
			return nil, badInput("%v", err)
		}
		defer func() { _ = f.Close() }()
		in = f
	}
	text, err := io.ReadAll(io.LimitReader(in, profile.Limit+1))
	if err != nil {
		return nil, badInput("read %s: %v", name, err)
	}
	return text, nil
}

func requireNoArguments(c *cli.Command) error {
	if c.Args().Present() {
		return badInput("%s: got argument %q, want none", c.Name, c.Args().First())
	}
	return nil
}

func requireOneArgument(c *cli.Command, want string) (string, error) {
	if c.Args().Len() != 1 {
		return "", badInput("%s: got %d arguments, want one %s", c.Name, c.Args().Len(), want)
	}
	return c.Args().First(), nil
}
