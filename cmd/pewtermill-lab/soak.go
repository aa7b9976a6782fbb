package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/command"
	"github.com/pewtermill/pewtermill/internal/soak"
)

// maxProcesses is the maximum number of processes of one soak.
const maxProcesses = 32

// soakCommand injects faults into real processes.
type soakCommand struct {
	Seed      uint64   `help:"Seed of the faults; 0 draws one. It is printed." default:"0"`
	Minutes   float64  `help:"How long to soak." default:"3"`
	Processes int      `help:"Processes under test." default:"4"`
	Keep      string   `help:"Directory for the processes' logs, written only if something is found; bin/soak-logs/SEED if left out." placeholder:"DIR"`
	Program   string   `help:"The pewtermill program; empty builds it from the sources here." type:"existingfile" optional:""`
	Beside    string   `help:"Another build of the program. Half of the processes begin with it, and each start of a process changes its build." type:"existingfile" optional:""`
	CarryFrom int      `help:"From how many processes on peers carry requests to engines; 0 for never. If left out, half of the seeds carry." default:"-1"`
	Versions  int      `help:"How many versions of their software engines go through. A build that does not know of versions mixes them by itself." default:"3"`
	Unlimited bool     `help:"Do not limit the memory of the processes; for a build with the race detector." name:"unlimited-memory"`
	Only      []string `help:"Kinds of faults to draw from; empty means all."`
	Without   []string `help:"Kinds of faults that are not drawn."`
}

// Run implements the verb.
func (s *soakCommand) Run(streams command.Streams) error {
	kinds, err := s.kinds()
	if err != nil {
		return err
	}
	if s.Processes < 1 || s.Processes > maxProcesses || s.Minutes <= 0 || s.Versions < 1 {
		return errors.Mark(errors.Newf("--processes must be 1 to %d, --minutes above 0, --versions 1 or more", maxProcesses), command.ErrUsage)
	}
	for s.Seed == 0 {
		s.Seed = uint64(rand.Uint32()) // short enough to type
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	program, remove, err := s.build(ctx)
	if err != nil {
		return err
	}
	defer remove()
	if s.Keep == "" {
		s.Keep = filepath.Join("bin", "soak-logs", strconv.FormatUint(s.Seed, 10))
	}
	fmt.Fprintf(streams.Err, "seed %d\n", s.Seed)
	report, err := soak.Run(ctx, soak.Options{
		Seed: s.Seed, Duration: time.Duration(s.Minutes * float64(time.Minute)), Processes: s.Processes,
		Program: program, SecondProgram: s.Beside, Kinds: kinds, EngineVersions: s.Versions, CarryFrom: s.carryFrom(), KeepAliveCallers: soak.KeepAliveCallersPerProcess, UnlimitedMemory: s.Unlimited, LogDirectory: s.Keep, Out: streams.Out,
	})
	if err == nil && report.HasFindings() {
		err = errors.Newf("soak found broken promises; replay with --seed %d; the processes' logs are in %s", s.Seed, s.Keep)
	}
	return err
}

// carryFrom returns the flag's value, or by default one that depends on the seed: peers carry requests
// for odd seeds and never for even ones.
func (s *soakCommand) carryFrom() int {
	if s.CarryFrom >= 0 {
		return s.CarryFrom
	}
	return int(s.Seed % 2)
}

// kinds returns the fault kinds to draw from.
func (s *soakCommand) kinds() ([]soak.Kind, error) {
	chosen, err := kindsNamed(s.Only)
	if err != nil {
		return nil, err
	}
	if len(chosen) == 0 {
		chosen = soak.Kinds()
	}
	excluded, err := kindsNamed(s.Without)
	return slices.DeleteFunc(chosen, func(kind soak.Kind) bool { return slices.Contains(excluded, kind) }), err
}

// kindsNamed returns the fault kinds of the given names.
func kindsNamed(names []string) ([]soak.Kind, error) {
	var kinds []soak.Kind
	for _, name := range names {
		kind := soak.Kind(name)
		if !soak.IsKind(kind) {
			return nil, errors.Mark(errors.Newf("unknown fault kind %q; known kinds: %v", name, soak.Kinds()), command.ErrUsage)
		}
		kinds = append(kinds, kind)
	}
	return kinds, nil
}

// build returns the path of the program, and builds the program if the flag names none.
func (s *soakCommand) build(ctx context.Context) (path string, remove func(), err error) {
	if s.Program != "" {
		return s.Program, func() {}, nil
	}
	directory, err := os.MkdirTemp("", "pewtermill-soak-program-")
	if err != nil {
		return "", nil, errors.Wrap(err, "directory for the program")
	}
	path = filepath.Join(directory, "pewtermill")
	output, err := exec.CommandContext(ctx, "go", "build", "-o", path, "./cmd/pewtermill").CombinedOutput()
	if err != nil {
		_ = os.RemoveAll(directory)
		return "", nil, errors.Wrapf(err, "build the program: %s", output)
	}
	return path, func() { _ = os.RemoveAll(directory) }, nil
}
