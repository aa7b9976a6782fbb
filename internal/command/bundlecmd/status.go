package bundlecmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"
)

// Status is `bundle status`.
type Status struct {
	Node
	Output string `help:"Print as a table for people, or as JSON." enum:"table,json" default:"table" short:"o"`
}

// statusAnswer holds the fields of the node's response that the table shows.
type statusAnswer struct {
	Version uint64         `json:"version"`
	Digest  string         `json:"digest"`
	Members []memberAnswer `json:"members"`
}

// memberAnswer is the version in force on one node, as of its last heartbeat.
type memberAnswer struct {
	Name      string    `json:"name"`
	Version   uint64    `json:"version"`
	LastHeard time.Time `json:"last_heard"`
}

// Run prints the version in force on each member that the queried node lists.
func (c *Status) Run(kongContext *kong.Context) error {
	var answer json.RawMessage
	if err := c.do(http.MethodGet, statusPath, nil, &answer); err != nil {
		return err
	}
	if c.Output == "json" {
		_, err := fmt.Fprintln(kongContext.Stdout, string(answer))
		return err
	}
	var status statusAnswer
	if err := json.Unmarshal(answer, &status); err != nil {
		return err
	}
	return writeStatus(kongContext.Stdout, status)
}

func writeStatus(w io.Writer, status statusAnswer) error {
	fmt.Fprintf(w, "version %d, digest %s\n", status.Version, status.Digest)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NODE\tVERSION\tLAST HEARD")
	for _, member := range status.Members {
		fmt.Fprintf(table, "%s\t%d\t%s\n", member.Name, member.Version, member.LastHeard.Format(time.RFC3339))
	}
	return table.Flush()
}
