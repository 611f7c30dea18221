package command

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/pkg/config"
	"github.com/chiveramp/chiveramp/pkg/profile"
)

// checkOutput is the output of check.
type checkOutput struct {
	File     string `json:"file"`
	Profiles int    `json:"profiles"`
	Models   int    `json:"models"`
	Adapters int    `json:"adapters"`
	Services int    `json:"services"`
}

func (p *program) checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a document, or a daemon's settings, without a running system",
		ArgsUsage: "FILE (- for standard input)",
		Description: `Runs the same checks as the daemon.

Example:
   chiveramp check examples/guaiba.ini
   chiveramp check --settings examples/guaiba/litoral-1.ini`,
		Flags:  []cli.Flag{&cli.BoolFlag{Name: "settings", Usage: "the file holds a daemon's settings"}},
		Action: p.check,
	}
}

func (p *program) check(_ context.Context, c *cli.Command) error {
	if c.Bool("settings") {
		return p.checkSettings(c)
	}
	name, text, err := p.readDocument(c)
	if err != nil {
		return err
	}
	d, err := profile.Parse(name, text)
	if err != nil {
		return err
	}
	v := summarizeDocument(name, d)
	return p.print(c, v, func(w io.Writer) {
		linef(w, "%s: good: %d profiles, %d models, %d adapters, %d services", v.File, v.Profiles, v.Models, v.Adapters, v.Services)
	})
}

func (p *program) checkSettings(c *cli.Command) error {
	path, err := requireOneArgument(c, "FILE")
	if err != nil {
		return err
	}
	s, err := config.Load(path)
	if err != nil {
		return err
	}
	return p.print(c, checkOutput{File: path}, func(w io.Writer) {
		linef(w, "%s: good: instance %s in %s, %s", path, s.Instance.Name, s.Instance.Datacentre, s.Instance.Region)
	})
}

func summarizeDocument(name string, d profile.Document) checkOutput {
	v := checkOutput{File: name, Profiles: len(d.Profiles()), Models: len(d.Models()), Services: len(d.Services())}
	for _, m := range d.Models() {
		v.Adapters += len(m.Adapters)
	}
	return v
}
