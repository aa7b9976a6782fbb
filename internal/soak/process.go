package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/platform"
)

// peersPort is the port where peers reach a process: its first one.
const peersPort = "7110"

// Times of processes.
const (
	restartAfter      = 500 * time.Millisecond
	restartAllAfter   = time.Second // as after a power failure of all machines
	readyPollInterval = 20 * time.Millisecond
	readyTimeout      = time.Second
	readinessInterval = 250 * time.Millisecond // between two rounds of readiness requests
	exitMargin        = time.Second            // beyond the grace period
	// startBound is how long a start may take on a machine that is shared with much other work. After that the process
	// must report that it is ready, as any other.
	startBound = 15 * time.Second
)

// maxLog limits the kept part of a process's log; at least the newest half of this size is kept.
const maxLog = 16 << 20

// tail keeps the end of a log. Safe for concurrent use.
type tail struct {
	mutex        sync.Mutex
	older, newer bytes.Buffer
}

// Write implements io.Writer.
func (t *tail) Write(text []byte) (int, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.newer.Len()+len(text) > maxLog/2 {
		t.older, t.newer = t.newer, bytes.Buffer{}
	}
	return t.newer.Write(text)
}

// content returns the kept part.
func (t *tail) content() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.older.String() + t.newer.String()
}

// save writes the kept part to a file.
func (t *tail) save(path string) error {
	return errors.Wrap(os.WriteFile(path, []byte(t.content()), 0o600), "save a log")
}

// process is one process under test, across its restarts.
type process struct {
	settings       operators.ProcessSettings
	settingsPath   string
	settingsMutex  sync.Mutex // held while settings are written, so that the newest remain
	programs       [2]string  // starts alternate between them
	secondProgram  string     // see Options
	startCount     atomic.Int64
	carryFrom      int // number of processes from which peers carry requests
	endpoint       *operators.Endpoint
	endpointFaults endpointFaults
	log            *tail

	faultMutex sync.Mutex // held while a fault is applied to the process
	command    *exec.Cmd
	forwarder  *forwarder
	exited     chan struct{}              // closed when the command has exited, or could not be started
	exitErr    error                      // set before exited is closed
	running    atomic.Pointer[os.Process] // nil while no process runs
	overMemory atomic.Bool                // whether it was killed for its memory; see enforceMemory

	firstSignal atomic.Pointer[startProgress] // at the first signal of this start; nil if it got none
}

// newProcess writes the settings of a process and does not start it.
func (d *deployment) newProcess(number int, directory string, options Options) (*process, error) {
	endpoint := d.store.NewEndpoint()
	ip := fmt.Sprintf("%s%d", d.subnet, firstProcessHost+number)
	p := &process{programs: options.programsOf(number), secondProgram: options.SecondProgram, carryFrom: options.CarryFrom, endpoint: endpoint, log: &tail{}, settings: operators.ProcessSettings{
		Node: fmt.Sprintf("node-%d", number+1), IP: ip, Zone: zones[number%len(zones)], Zones: inOneRegion(zones),
		ClientAddress: ip + ":7100", ReadyAddress: ip + ":7101", FirstPort: 7110, LastPort: 7119, GracePeriod: gracePeriod,
		ColdFactor: coldFactor, ColdSlack: coldSlack, ContactBound: contactBound, DrainBound: drainBound, EvacuationBound: evacuationBound, ConfigurationBound: configurationBound,
		QuotaWindow: limitWindow, QuotaFraction: limitFraction, QuotaSlack: limitSlack,
	}}
	if !options.UnlimitedMemory {
		p.settings.MemoryMB = memoryLimit
	}
	p.forwarder = newForwarder(&d.links, p.settings.Node, net.JoinHostPort(ip, peersPort), net.JoinHostPort(fmt.Sprintf("%s%d", d.subnet, firstPeerHost+number), peersPort))
	p.settingsPath = filepath.Join(directory, p.settings.Node+".json")
	return p, p.writeSettings(p.settingsPath)
}

// settingsMode is the mode of settings files.
const settingsMode = 0o600

// currentSettings returns the content of the settings file.
func (p *process) currentSettings() map[string]any {
	settings := p.settings
	settings.StoreAddress = p.endpoint.Address()
	return settings.SettingsFile()
}

// writeSettings writes the settings to a file.
func (p *process) writeSettings(path string) error {
	p.settingsMutex.Lock()
	defer p.settingsMutex.Unlock()
	content, err := json.Marshal(p.currentSettings())
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	return errors.Wrap(os.WriteFile(path, content, settingsMode), "write the settings")
}

// replaceSettings replaces the settings file: at once, or in place, so that it is incomplete for a moment.
func (p *process) replaceSettings(inPlace bool) error {
	if inPlace {
		return p.writeSettings(p.settingsPath)
	}
	draft := p.settingsPath + ".draft"
	if err := p.writeSettings(draft); err != nil {
		return err
	}
	return errors.Wrap(os.Rename(draft, p.settingsPath), "replace the settings")
}

// programsOf returns the programs that the starts of a process alternate between. With two builds, every second
// process starts with the second one.
func (o Options) programsOf(number int) [2]string {
	switch {
	case o.SecondProgram == "":
		return [2]string{o.Program, o.Program}
	case number%2 == 1:
		return [2]string{o.SecondProgram, o.Program}
	}
	return [2]string{o.Program, o.SecondProgram}
}

// inOneRegion assigns all zones to one region.
func inOneRegion(zoneNames []string) map[string]string {
	regions := make(map[string]string)
	for _, name := range zoneNames {
		regions[name] = "region"
	}
	return regions
}

// start starts the process. Its predecessor must have exited.
func (p *process) start() error {
	p.exited = make(chan struct{})
	p.firstSignal.Store(nil)
	program := p.programs[p.startCount.Load()%int64(len(p.programs))]
	p.startCount.Add(1)
	p.command = exec.Command(program, "serve", "--settings", p.settingsPath, "--carry-from", strconv.Itoa(p.carryFrom), "--peers-listen", p.forwarder.to)
	p.command.Stdout, p.command.Stderr = p.log, p.log
	p.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the soak
	err := p.forwarder.listen()
	if err == nil {
		err = p.command.Start()
	}
	if err != nil {
		p.forwarder.close()
		p.exitErr = errors.Wrapf(err, "start %s", p.settings.Node)
		close(p.exited) // nothing may wait for a process that never ran
		return p.exitErr
	}
	p.overMemory.Store(false)
	p.running.Store(p.command.Process)
	go func(command *exec.Cmd, exited chan struct{}) {
		p.exitErr = command.Wait()
		p.running.Store(nil)
		p.forwarder.close() // peers are rejected, as by a machine whose process has exited
		close(exited)
	}(p.command, p.exited)
	return nil
}

// Values of process.build.
const (
	buildProgram = "program" // Options.Program
	buildBeside  = "beside"  // Options.SecondProgram
)

// build returns which of two programs the process runs, or ran last; empty if there is only one.
func (p *process) build() string {
	last := max(0, p.startCount.Load()-1)
	switch {
	case p.secondProgram == "":
		return ""
	case p.programs[last%int64(len(p.programs))] == p.secondProgram:
		return buildBeside
	}
	return buildProgram
}

// processID returns the ID of the process; 0 while none runs.
func (p *process) processID() int64 {
	if running := p.running.Load(); running != nil {
		return int64(running.Pid)
	}
	return 0
}

// signal sends a signal to the process if it is still running.
func (p *process) signal(signal syscall.Signal) {
	if !p.ended() {
		_ = p.command.Process.Signal(signal) // it may just have exited
	}
}

// kill kills the process and waits for its exit.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.exited
}

// waitReady waits until the process reports that it is ready. It returns false if the process exits first or
// startBound passes: the waiting caller keeps the process from being monitored.
func (p *process) waitReady(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	for !p.ready(ctx) {
		if p.ended() || !backoff.Wait(ctx, readyPollInterval) {
			return false
		}
	}
	return true
}

// ended reports whether the process has exited.
func (p *process) ended() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

func (p *process) ready(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.settings.ReadyAddress+platform.ReadyPath(), nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false // not yet
	}
	defer response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// restart starts the successor of a process that has exited, after the given delay, and waits until it is ready. If it
// does not become ready, monitoring reports it.
func (d *deployment) restart(p *process, after time.Duration) { d.restartWith(p, after, startFault{}) }

// restartWith is restart with a fault of the start.
func (d *deployment) restartWith(p *process, after time.Duration, fault startFault) {
	if !backoff.Wait(d.context, after) {
		return
	}
	d.checker.Restarted(p.settings.Node)
	end := fault.begin(d, p)
	err := p.start()
	if err == nil {
		fault.during(d, p)
	}
	end()
	if err != nil {
		d.checker.ProcessEnded(d.now(), p.settings.Node, false, err.Error())
		return
	}
	p.waitReady(d.context)
}

// stop stops a process as planned and restarts it. It calls whileStopping after the stop signal.
func (d *deployment) stop(p *process, whileStopping func()) {
	d.checker.DisruptionStarted(p.settings.Node, true)
	defer func() { d.checker.DisruptionEnded(d.now(), p.settings.Node, true) }()
	stoppedAt := d.now()
	d.checker.Stopping(stoppedAt, p.settings.Node)
	p.signal(syscall.SIGTERM)
	whileStopping()
	if d.awaitExit(p, stoppedAt) {
		d.checker.Stopped(d.now(), p.settings.Node)
		if d.now()-stoppedAt > gracePeriod+exitMargin {
			d.checker.ExcuseLateExit()
		}
		how := fmt.Sprintf("ended %.2f s after it was told to: %v", (d.now() - stoppedAt).Seconds(), p.exitErr)
		d.checker.ProcessEnded(d.now(), p.settings.Node, p.exitErr == nil || p.overMemory.Load(), how)
	} else {
		waited := d.checker.WaitedSince(stoppedAt, p.settings.Node)
		how := fmt.Sprintf("runs on %.2f s after it was told to stop; threads waited %.2f s for a processor", (d.now() - stoppedAt).Seconds(), waited.Seconds())
		d.checker.ProcessEnded(d.now(), p.settings.Node, false, how)
		p.kill()
		d.checker.Stopped(d.now(), p.settings.Node)
	}
	d.restart(p, restartAfter)
}

// awaitExit waits for the exit of a process that was told to stop: for its grace period, exitMargin and the time for which
// its threads have waited for a processor since. A process that cannot exit is found, only later by these waits.
func (d *deployment) awaitExit(p *process, stoppedAt time.Duration) bool {
	for {
		allowed := gracePeriod + exitMargin + d.checker.WaitedSince(stoppedAt, p.settings.Node)
		remaining := stoppedAt + allowed - d.now()
		if remaining <= 0 {
			return p.ended()
		}
		timer := time.NewTimer(remaining)
		select {
		case <-p.exited:
			timer.Stop()
			return true
		case <-timer.C:
		}
	}
}

// watchExits polls for processes that exit by themselves and restarts them.
func (d *deployment) watchExits() {
	for backoff.Wait(d.context, exitCheckInterval) {
		for _, p := range d.processes {
			if !p.faultMutex.TryLock() {
				continue
			}
			d.restartEnded(p)
			p.faultMutex.Unlock()
		}
	}
}

// watchReadiness polls whether processes are ready. A process that exits during a poll counts as not connected.
func (d *deployment) watchReadiness() {
	for backoff.Wait(d.context, readinessInterval) {
		for _, p := range d.processes {
			requestedAt := d.now()
			ready := p.ready(d.context)
			if d.context.Err() == nil {
				d.checker.Readiness(requestedAt, d.now(), p.settings.Node, ready)
			}
		}
	}
}

// restartEnded restarts a process that has exited by itself. After the end of the soak, processes that a fault has
// ended are not restarted, and they have not exited by themselves.
func (d *deployment) restartEnded(p *process) {
	if !p.ended() || d.context.Err() != nil {
		return
	}
	d.checker.DisruptionStarted(p.settings.Node, false)
	d.reportEnded(p)
	d.restart(p, restartAfter)
	d.checker.DisruptionEnded(d.now(), p.settings.Node, false)
}

// reportEnded reports a process that has exited by itself. One that was killed for its memory is a finding already.
func (d *deployment) reportEnded(p *process) {
	if p.overMemory.Load() {
		return
	}
	how := fmt.Sprintf("ended by itself: %v", p.exitErr)
	if first := p.firstSignal.Load(); first != nil {
		how += "; " + first.String()
	}
	d.checker.ProcessEnded(d.now(), p.settings.Node, false, how)
}
