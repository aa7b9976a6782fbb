package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
)

// Format is the output format of a verb.
type Format string

// Output formats.
const (
	FormatTable Format = "table"
	FormatJSON  Format = "json"
)

// Output is the flag that selects a format; embed it in a verb.
type Output struct {
	Output Format `help:"Print as a table for people, or as JSON." enum:"table,json" default:"table" short:"o"`
}

// Print writes value as indented JSON, or calls table, depending on the selected format.
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

// columnPadding is the padding between the columns of a Table, in characters.
const columnPadding = 2

// NewTable starts a table on w. The caller ends it with Flush.
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

// Flush writes the table.
func (t *Table) Flush() error {
	return errors.Wrap(t.writer.Flush(), "print table")
}

// line adds a row. It ignores a failed write because Flush then fails as well.
func (t *Table) line(cells []string) {
	_, _ = io.WriteString(t.writer, strings.Join(cells, "\t")+"\n")
}
