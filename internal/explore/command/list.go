package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/chiveramp/chiveramp/internal/explore/models"
)

// modelRow is one model in the output of list.
type modelRow struct {
	Name          string         `json:"name"`
	Promise       string         `json:"promise"`
	CodeUnderTest string         `json:"drives"`
	Mechanisms    []mechanismRow `json:"mechanisms"`
}

type mechanismRow struct {
	Name    string `json:"name"`
	Purpose string `json:"does"`
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name:   "list",
		Usage:  "list the models, the invariants they check and the mechanisms that can be turned off",
		Flags:  []cli.Flag{outputFlag()},
		Action: listModels,
	}
}

func listModels(_ context.Context, c *cli.Command) error {
	selected, err := selectModels(c)
	if err != nil {
		return err
	}
	var rows []modelRow
	for _, m := range selected {
		rows = append(rows, newModelRow(m))
	}
	return writeOutput(c, rows, func(w io.Writer) error { return printList(w, rows) })
}

func newModelRow(m models.Model) modelRow {
	l := modelRow{Name: m.Name, Promise: m.Promise, CodeUnderTest: m.CodeUnderTest}
	for _, one := range m.Mechanisms {
		l.Mechanisms = append(l.Mechanisms, mechanismRow(one))
	}
	return l
}

func printList(w io.Writer, rows []modelRow) error {
	for _, l := range rows {
		if _, err := fmt.Fprintf(w, "%s: %s (%s)\n", l.Name, l.Promise, l.CodeUnderTest); err != nil {
			return err
		}
		for _, m := range l.Mechanisms {
			if _, err := fmt.Fprintf(w, "  %-16s %s\n", m.Name, m.Purpose); err != nil {
				return err
			}
		}
	}
	return nil
}
