package bundlecmd

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/alecthomas/kong"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Submit is `bundle submit`.
type Submit struct {
	File     string   `arg:"" help:"Bundle to submit, YAML." type:"path"`
	SignOffs []string `name:"sign-off" required:"" sep:"none" help:"File made by sign; repeat for each reviewer." type:"path"`
	Node
}

// submitAnswer is the node's response to an accepted bundle.
type submitAnswer struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
}

// Run checks the bundle locally, submits it, and prints the version in force.
func (c *Submit) Run(kongContext *kong.Context) error {
	_, source, err := readBundle(c.File)
	if err != nil {
		return err
	}
	signed := bundle.Signed{Source: source}
	for _, file := range c.SignOffs {
		signOff, err := readSignOff(file)
		if err != nil {
			return err
		}
		signed.SignOffs = append(signed.SignOffs, signOff)
	}
	body, err := json.Marshal(signed)
	if err != nil {
		return err
	}
	var answer submitAnswer
	if err := c.do(http.MethodPost, submitPath, body, &answer); err != nil {
		return err
	}
	_, err = fmt.Fprintf(kongContext.Stdout, "version %d is in force, digest %s\n", answer.Version, answer.Digest)
	return err
}
