package bundlecmd

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/alecthomas/kong"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Diff is `bundle diff`.
type Diff struct {
	Old    string `arg:"" help:"Bundle to change, YAML." type:"path"`
	New    string `arg:"" help:"Changed bundle, YAML." type:"path"`
	Output string `help:"Print as a table for people, or as JSON." enum:"table,json" default:"table" short:"o"`
}

// maxValueLength is the maximum length of a value in the table; JSON output is not shortened.
const maxValueLength = 60

// Run prints all changes.
func (c *Diff) Run(kongContext *kong.Context) error {
	old, _, err := readBundle(c.Old)
	if err != nil {
		return err
	}
	next, _, err := readBundle(c.New)
	if err != nil {
		return err
	}
	changes := bundle.Diff(old, next)
	if c.Output == "json" {
		return writeChangesJSON(kongContext.Stdout, changes)
	}
	return writeChangesTable(kongContext.Stdout, changes)
}

func writeChangesJSON(w io.Writer, changes []bundle.Change) error {
	if changes == nil {
		changes = []bundle.Change{}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(changes)
}

func writeChangesTable(w io.Writer, changes []bundle.Change) error {
	if len(changes) == 0 {
		_, err := fmt.Fprintln(w, "no changes")
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "PATH\tCHANGE\tOLD\tNEW")
	for _, change := range changes {
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", change.Path, change.Kind, shorten(change.Old), shorten(change.New))
	}
	return table.Flush()
}

func shorten(value json.RawMessage) string {
	if string(value) == "null" {
		return "-"
	}
	text := []rune(string(value))
	if len(text) > maxValueLength {
		return string(text[:maxValueLength-1]) + "…"
	}
	return string(text)
}
