// Package bundlecmd is the command line of `pewtermill bundle`: one file and
// one kong command struct for each verb. Each Run writes to the Stdout of the
// kong context. An error that carries an exit code implements
// kong.ExitCoder: 2 says that the bundle has faults, all of which are named.
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

// faultsError says that a file is not a good bundle.
type faultsError struct {
	file  string
	lines []string
}

// Error names every fault, each on a line of its own.
func (e *faultsError) Error() string {
	return e.file + " has faults:\n  " + strings.Join(e.lines, "\n  ")
}

// ExitCode implements kong.ExitCoder.
func (e *faultsError) ExitCode() int { return exitCodeFaults }

// invalidError is a node's refusal of a bundle with faults.
type invalidError struct{ refusal *api.Error }

// Error gives the node's words.
func (e *invalidError) Error() string { return e.refusal.Error() }

// Unwrap returns the refusal.
func (e *invalidError) Unwrap() error { return e.refusal }

// ExitCode implements kong.ExitCoder.
func (e *invalidError) ExitCode() int { return exitCodeFaults }

// goodBundle decodes and checks the source of a file.
func goodBundle(file string, source []byte) (*bundle.Bundle, error) {
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
