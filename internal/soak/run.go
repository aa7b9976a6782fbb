package soak

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// settleTime is how long the checker continues to observe after the callers have ended: requests may arrive after they
// were rejected.
const settleTime = 2 * time.Second

// reportInterval is the time between two reports of findings.
const reportInterval = 200 * time.Millisecond

// Options configure a soak.
type Options struct {
	Seed             uint64
	Duration         time.Duration
	Processes        int
	Program          string // path of the program under test
	SecondProgram    string // path of another build, which every second process starts with; each restart of a process switches builds; empty for none
	Kinds            []Kind // kinds of faults to draw from
	EngineVersions   int    // number of engine software versions; 0 for softwareVersions
	CarryFrom        int    // number of processes from which peers carry requests; 0 for never
	KeepAliveCallers int    // keep-alive callers per process
	UnlimitedMemory  bool   // processes are neither told nor held to a limit of their memory, as for a build with the race detector
	LogDirectory     string // where logs are saved if there are findings; empty for nowhere
	Out              io.Writer
}

// Report holds the counts of a soak.
type Report struct {
	Seed      uint64            `json:"seed"`
	Seconds   float64           `json:"seconds"`
	Processes int               `json:"processes"`
	CarryFrom int               `json:"carry_from"`
	Injected  map[string]int64  `json:"faults_injected"`
	Checked   map[Promise]int64 `json:"promises_checked"`
	Broken    map[Promise]int64 `json:"promises_broken"`
	Outcomes  map[string]int64  `json:"outcomes"`
	Begun     StreamCounts      `json:"streams_begun"`    // at connected processes
	TakenUp   StreamCounts      `json:"streams_taken_up"` // at connected processes, while two engines of their version accept new work
	Stalls    StallTotals       `json:"stalls"`           // for lack of processor time
	Excused   map[Promise]int64 `json:"promises_excused"` // violations that are no findings, mostly because of these stalls
}

// HasFindings reports whether a promise was violated.
func (r Report) HasFindings() bool { return len(r.Broken) > 0 }

// Run soaks the program. It writes one line of JSON per finding, and then the report.
func Run(ctx context.Context, options Options) (Report, error) {
	directory, err := os.MkdirTemp("", "pewtermill-soak-")
	if err != nil {
		return Report{}, errors.Wrap(err, "create the directory for settings")
	}
	defer os.RemoveAll(directory)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	checker := NewChecker(options.Seed)
	d, err := newDeployment(ctx, checker, directory, options)
	defer d.close()
	if err != nil {
		return Report{}, err
	}
	lines := json.NewEncoder(options.Out)
	d.soak(ctx, cancel, options, lines)
	checker.CheckResumedShare(d.now())
	report := d.report(options)
	if err := errors.CombineErrors(d.writeFindings(lines), errors.Wrap(lines.Encode(report), "write the report")); err != nil {
		return report, err
	}
	return report, d.saveLogs(options.LogDirectory, report)
}

// soak runs callers and faults for the duration of the options and waits for all of them to end.
func (d *deployment) soak(ctx context.Context, cancel context.CancelFunc, options Options, lines *json.Encoder) {
	callersContext, stopCallers := context.WithCancel(ctx)
	defer stopCallers()
	startedAt := d.now()
	for _, fault := range Plan(options.Seed, options.Duration, options.Kinds) {
		d.later(fault.At, func() { d.inject(fault) })
	}
	defer d.startWatchingWaits(ctx)()
	d.tasks.Go(d.watchExits)
	d.tasks.Go(d.watchReadiness)
	if !options.UnlimitedMemory {
		d.tasks.Go(d.watchMemory)
	}
	d.tasks.Go(func() { d.reportPeriodically(lines) })
	callersEnded := make(chan struct{})
	go func() {
		defer close(callersEnded)
		d.runCallers(callersContext, options)
	}()
	backoff.Wait(ctx, options.Duration-(d.now()-startedAt))
	stopCallers()
	<-callersEnded
	backoff.Wait(ctx, settleTime)
	cancel()
	d.tasks.Wait()
}

// reportPeriodically writes findings as they occur and trims the store's history.
func (d *deployment) reportPeriodically(lines *json.Encoder) {
	for backoff.Wait(d.context, reportInterval) {
		d.store.TrimHistory(maxHistory)
		if err := d.writeFindings(lines); err != nil {
			return // Run gets the error from its next write
		}
	}
}

func (d *deployment) writeFindings(lines *json.Encoder) error {
	for _, finding := range d.checker.TakeFindings() {
		if err := lines.Encode(finding); err != nil {
			return errors.Wrap(err, "write a finding")
		}
	}
	return nil
}

func (d *deployment) report(options Options) Report {
	checked, broken := d.checker.Counts()
	begun, takenUp := d.checker.StreamTotals()
	stalled, excused := d.checker.StallTotals()
	return Report{Begun: begun, TakenUp: takenUp, Seed: options.Seed, Seconds: d.now().Seconds(), Processes: options.Processes, CarryFrom: options.CarryFrom,
		Injected: maps.Clone(d.injected.counts), Checked: checked, Broken: broken, Outcomes: maps.Clone(d.outcomes.counts), Stalls: stalled, Excused: excused}
}

// saveLogs saves the processes' logs if there are findings.
func (d *deployment) saveLogs(directory string, report Report) error {
	if directory == "" || !report.HasFindings() {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return errors.Wrap(err, "create the directory for logs")
	}
	if err := d.saveWaits(filepath.Join(directory, waitsFile)); err != nil {
		return err
	}
	for _, p := range d.processes {
		if err := p.log.save(filepath.Join(directory, p.settings.Node+".log")); err != nil {
			return err
		}
	}
	return nil
}

// waitsFile is the name of the file beside the logs that has the waits for a processor.
const waitsFile = "waits.json"

// saveWaits writes when the soak started, and when threads waited for a processor.
func (d *deployment) saveWaits(path string) error {
	content, err := json.MarshalIndent(struct {
		Started time.Time    `json:"started"`
		Waits   []ThreadWait `json:"waits"`
	}{d.startTime, d.checker.ThreadWaits()}, "", " ")
	if err != nil {
		return errors.Wrap(err, "encode the waits for a processor")
	}
	return errors.Wrap(os.WriteFile(path, content, 0o600), "save the waits for a processor")
}
