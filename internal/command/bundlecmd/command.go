// Package bundlecmd is the command line of `pewtermill bundle`, with one file
// and one kong command struct for each verb. Each Run writes to the Stdout of
// the kong context. An error with its own exit code implements
// kong.ExitCoder; code 2 means that the bundle has faults, and the error names all of them.
package bundlecmd

import (
	"strings"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Command groups the verbs.
type Command struct {
	Check  Check  `cmd:"" help:"Check a bundle and name all its faults."`
	Diff   Diff   `cmd:"" help:"Show what changes from one bundle to another."`
	Keygen Keygen `cmd:"" help:"Make a reviewer's key."`
	Sign   Sign   `cmd:"" help:"Sign a bundle off as a reviewer."`
	Submit Submit `cmd:"" help:"Submit a signed bundle to a node."`
	Status Status `cmd:"" help:"Show the version in force on each node."`
}

// exitCodeFaults is the exit code for a bundle with faults.
const exitCodeFaults = 2

// faultsError is the error for a file that is not a valid bundle.
type faultsError struct {
	file  string
	lines []string
}

// Error lists the faults, one per line.
func (e *faultsError) Error() string {
	return e.file + " has faults:\n  " + strings.Join(e.lines, "\n  ")
}

// ExitCode implements kong.ExitCoder.
func (e *faultsError) ExitCode() int { return exitCodeFaults }

// invalidError is a node's refusal of a bundle with faults.
type invalidError struct{ refusal *api.Error }

// Error returns the node's message.
func (e *invalidError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *invalidError) Unwrap() error { return e.refusal }

// ExitCode implements kong.ExitCoder.
func (e *invalidError) ExitCode() int { return exitCodeFaults }

// decodeAndCheck decodes the content of a bundle file and checks it.
func decodeAndCheck(file string, source []byte) (*bundle.Bundle, error) {
	decoded, err := bundle.Decode(source)
	if err != nil {
		return nil, &faultsError{file: file, lines: []string{err.Error()}}
	}
	faults := bundle.Check(decoded)
	if len(faults) == 0 {
		return decoded, nil
	}
	lines := make([]string, 0, len(faults))
	for _, fault := range faults {
		lines = append(lines, fault.String())
	}
	return nil, &faultsError{file: file, lines: lines}
}
