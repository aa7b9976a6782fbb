package bundlecmd

import (
	"fmt"

	"github.com/alecthomas/kong"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Check is `bundle check`.
type Check struct {
	File string `arg:"" help:"Bundle, YAML." type:"path"`
}

// Run prints the version and digest of a valid bundle, or returns an error
// that names all faults.
func (c *Check) Run(kongContext *kong.Context) error {
	decoded, _, err := readBundle(c.File)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(kongContext.Stdout, "%s: version %d on %d, digest %s: no faults\n",
		c.File, decoded.Version, decoded.BaseVersion, bundle.Digest(decoded))
	return err
}
