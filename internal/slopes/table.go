package slopes

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// table is text in aligned columns.
type table struct {
	rows []string
}

func (t *table) row(cells ...string) {
	t.rows = append(t.rows, strings.Join(cells, "\t"))
}

func (t *table) print(w io.Writer) error {
	columns := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	if _, err := fmt.Fprintln(columns, strings.Join(t.rows, "\n")); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	if err := columns.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}
