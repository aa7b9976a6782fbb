package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Format is how a verb prints what it found.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Output is the flag by which the user chooses a format; embed it in a verb.
type Output struct {
	Output Format `help:"Print as a table for people, or as JSON." enum:"table,json" default:"table" short:"o"`
}

// Print writes value as indented JSON, or calls table, as the user chose.
func (o Output) Print(w io.Writer, value any, table func(io.Writer) error) error {
	if o.Output != FormatJSON {
		return table(w)
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return errors.Wrap(encoder.Encode(value), "print JSON")
}

// Table prints aligned columns under a header row.
type Table struct {
	writer *tabwriter.Writer
}

// Padding between the columns of a Table, in characters.
const columnPadding = 2

// NewTable starts a table on w. Call Flush at its end.
func NewTable(w io.Writer, header ...string) *Table {
	table := &Table{writer: tabwriter.NewWriter(w, 0, 0, columnPadding, ' ', 0)}
	table.line(header)
	return table
}

// Row adds a row; each cell is printed with fmt.Sprint.
func (t *Table) Row(cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	t.line(texts)
}

// Flush writes out the table.
func (t *Table) Flush() error {
	return errors.Wrap(t.writer.Flush(), "print table")
}

// line adds a row. A failed write is reported by Flush, which fails as well.
func (t *Table) line(cells []string) {
	_, _ = io.WriteString(t.writer, strings.Join(cells, "\t")+"\n")
}
