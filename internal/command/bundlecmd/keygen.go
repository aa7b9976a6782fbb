package bundlecmd

import (
	"crypto/ed25519"
	"encoding/base64"
	"fmt"

	"github.com/alecthomas/kong"
)

// Keygen is `bundle keygen`.
type Keygen struct {
	Reviewer string `required:"" help:"Name of the reviewer."`
	KeyFile  string `required:"" help:"New file for the private key, PEM." type:"path"`
}

// Run writes the private key, and prints the entry for the bundle's list of
// reviewers.
func (c *Keygen) Run(kongContext *kong.Context) error {
	public, private, err := ed25519.GenerateKey(nil)
	if err != nil {
		return err
	}
	if err := writeKey(c.KeyFile, private); err != nil {
		return err
	}
	_, err = fmt.Fprintf(kongContext.Stdout, "reviewers:\n  - name: %s\n    public_key: %s\n",
		c.Reviewer, base64.StdEncoding.EncodeToString(public))
	return err
}
