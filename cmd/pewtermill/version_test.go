package main

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/pewtermill/pewtermill/internal/command"
)

// TestVersionTellsWhatABuildKnows has operators compare two builds before they serve side by side: what one of them does
// not know it declines.
func TestVersionTellsWhatABuildKnows(t *testing.T) {
	var table, encoded bytes.Buffer
	for _, printed := range []struct {
		format command.Format
		into   *bytes.Buffer
	}{{command.FormatTable, &table}, {command.FormatJSON, &encoded}} {
		version := versionCommand{Output: command.Output{Output: printed.format}}
		if err := version.Run(command.Streams{Out: printed.into}); err != nil {
			t.Fatal(err)
		}
	}
	var report versionReport
	if err := json.Unmarshal(encoded.Bytes(), &report); err != nil {
		t.Fatal(err)
	}
	for _, request := range []string{"commit_table", "carry_request", "find_origin"} {
		if !slices.Contains(report.Requests, request) || !strings.Contains(table.String(), request) {
			t.Errorf("%s is not told; table:\n%s", request, table.String())
		}
	}
}
