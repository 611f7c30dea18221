package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
)

// print writes v as JSON if --output is json, else it calls text.
func (p *program) print(c *cli.Command, v any, text func(w io.Writer)) error {
	if outputFormat(c.String("output")) == outputJSON {
		e := json.NewEncoder(p.out)
		e.SetIndent("", "  ")
		if err := e.Encode(v); err != nil {
			return fmt.Errorf("print JSON: %w", err)
		}
		return nil
	}
	text(p.out)
	return nil
}

// writeTable writes a title and rows in aligned columns. It writes nothing if there are no rows.
func writeTable(w io.Writer, title, columns string, rows [][]string) {
	if len(rows) == 0 {
		return
	}
	linef(w, "%s", title)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	linef(t, "  %s", strings.ReplaceAll(columns, " ", "\t"))
	for _, row := range rows {
		linef(t, "  %s", strings.Join(row, "\t"))
	}
	_ = t.Flush()
}

func linef(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

func formatMilliseconds(n int64) string {
	return (time.Duration(n) * time.Millisecond).String()
}

func formatPercent(share float64) string {
	return fmt.Sprintf("%.1f%%", share*100)
}

func orDash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
