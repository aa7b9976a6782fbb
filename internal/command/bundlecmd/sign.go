package bundlecmd

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Sign is `bundle sign`.
type Sign struct {
	File     string `arg:"" help:"Bundle to sign off, YAML." type:"path"`
	Reviewer string `required:"" help:"Name of the reviewer, as in the bundle in force."`
	KeyFile  string `required:"" help:"The reviewer's private key, PEM." type:"path"`
	Out      string `help:"File for the sign-off; - prints it. Default: FILE.REVIEWER.sig."`
}

// standardOutput is the file name that stands for Stdout.
const standardOutput = "-"

// Run writes the sign-off as JSON. It does not sign a bundle with faults.
func (c *Sign) Run(kongContext *kong.Context) error {
	decoded, _, err := readBundle(c.File)
	if err != nil {
		return err
	}
	key, err := readKey(c.KeyFile)
	if err != nil {
		return err
	}
	encoded, err := json.Marshal(bundle.Sign(decoded, c.Reviewer, key))
	if err != nil {
		return err
	}
	return c.write(kongContext.Stdout, append(encoded, '\n'), decoded)
}

func (c *Sign) write(stdout io.Writer, signOff []byte, signed *bundle.Bundle) error {
	if c.Out == standardOutput {
		_, err := stdout.Write(signOff)
		return err
	}
	file := c.Out
	if file == "" {
		file = c.File + "." + c.Reviewer + ".sig"
	}
	if err := os.WriteFile(file, signOff, signOffFileMode); err != nil {
		return err
	}
	_, err := fmt.Fprintf(stdout, "%s: sign-off by %s of version %d, digest %s\n",
		file, c.Reviewer, signed.Version, bundle.Digest(signed))
	return err
}
