package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/keys"
)

// tokenOutput is the output of token. The token itself isn't stored anywhere.
type tokenOutput struct {
	Token string `json:"token"`
	Key   string `json:"key"`
}

func (p *program) tokenCommand() *cli.Command {
	return &cli.Command{
		Name:      "token",
		Usage:     "make a token for an operator, and the key that lets it in",
		ArgsUsage: "NAME",
		Description: `Generates a token and the section to add to the file of [operator] keys on every
instance. The section holds only a digest; the token is shown once.

Example:
   chiveramp token --role view --until 2027-01-31 ana`,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "role", Usage: "view, or edit to apply and drain as well", Value: string(keys.RoleView)},
			&cli.StringFlag{Name: "until", Usage: "first day on which it is no longer accepted (default: none)"},
		},
		Action: p.token,
	}
}

func (p *program) token(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return badInput("token: want one NAME")
	}
	token, key, err := keys.New(c.Args().First(), keys.Role(c.String("role")), c.String("until"))
	if err != nil {
		return err
	}
	return p.print(c, tokenOutput{Token: token, Key: key}, func(w io.Writer) {
		linef(w, "token, shown once: %s", token)
		linef(w, "add to the file of [operator] keys:")
		linef(w, "")
		linef(w, "%s", key)
	})
}
