package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/explore/models"
)

// listed is one model as list prints it.
type listed struct {
	Name       string      `json:"name"`
	Promise    string      `json:"promise"`
	Drives     string      `json:"drives"`
	Mechanisms []mechanism `json:"mechanisms"`
}

type mechanism struct {
	Name string `json:"name"`
	Does string `json:"does"`
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "name the models, their promises and the mechanisms that can be turned off",
		Flags:  []cli.Flag{outputFlag()},
		Action: list,
	}
}

func list(_ context.Context, c *cli.Command) error {
	chosen, err := chosen(c)
	if err != nil {
		return err
	}
	var rows []listed
	for _, m := range chosen {
		rows = append(rows, row(m))
	}
	return show(c, rows, func(w io.Writer) error { return printList(w, rows) })
}

func row(m models.Model) listed {
	l := listed{Name: m.Name, Promise: m.Promise, Drives: m.Drives}
	for _, one := range m.Mechanisms {
		l.Mechanisms = append(l.Mechanisms, mechanism(one))
	}
	return l
}

func printList(w io.Writer, rows []listed) error {
	for _, l := range rows {
		if _, err := fmt.Fprintf(w, "%s: %s (%s)\n", l.Name, l.Promise, l.Drives); err != nil {
			return err
		}
		for _, m := range l.Mechanisms {
			if _, err := fmt.Fprintf(w, "  %-16s %s\n", m.Name, m.Does); err != nil {
				return err
			}
		}
	}
	return nil
}
