package soak

import (
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Times of signals and of changes of the settings file while a process starts.
const (
	// The first signal comes when the process is firstSignalAge old and its threads have run for firstSignalRunTime since its runtime
	// handles signals: before that, the system ends any process. A process whose runtime handles signals gets them, too, once it has
	// slept for maxStartSleep. Time in which a thread waits for a processor counts as neither.
	firstSignalAge     = 10 * time.Millisecond
	firstSignalRunTime = 10 * time.Millisecond
	maxStartSleep      = time.Second
	maxCountedSleep    = 10 * time.Millisecond // between two polls: nothing is known of what the threads do meanwhile
	signalPollInterval = time.Millisecond
	maxSignalInterval  = 30 * time.Millisecond
	minSignals         = 6
	maxSignals         = 20
	incompleteFor      = 8 * time.Millisecond // of the settings file, each time
)

// Times of a port that is in use while a process starts.
const (
	minPortTaken = 300 * time.Millisecond
	maxPortTaken = time.Second
)

// startFault is a fault of a process's start. Both functions may be nil.
type startFault struct {
	before func(d *deployment, p *process) (end func()) // called before the start; end is called before the process must be ready
	after  func(d *deployment, p *process)              // called once the process runs
}

// begin prepares the fault and returns what ends it.
func (f startFault) begin(d *deployment, p *process) (end func()) {
	if f.before == nil {
		return func() {}
	}
	return f.before(d, p)
}

// during applies the fault to the process that starts.
func (f startFault) during(d *deployment, p *process) {
	if f.after != nil {
		f.after(d, p)
	}
}

// restartBeside kills a process, or for half of the targets all processes at once, and applies a fault to each start that follows.
func (d *deployment) restartBeside(fault Fault, atStart startFault) bool {
	if fault.Target>>32&1 == 1 {
		return d.killAllAndStart(func() {}, atStart)
	}
	p := d.processes[fault.Target%uint64(len(d.processes))]
	p.faultMutex.Lock() // wait for the previous fault of this process to end
	defer p.faultMutex.Unlock()
	if d.context.Err() != nil {
		return false
	}
	d.restartEnded(p) // otherwise the fault would hide that it had exited by itself
	d.checker.DisruptionStarted(p.settings.Node, false)
	defer func() { d.checker.DisruptionEnded(d.now(), p.settings.Node, false) }()
	d.checker.Killed(d.now(), p.settings.Node)
	p.kill()
	d.restartWith(p, restartAfter, atStart)
	return true
}

// signalsOfStart sends SIGHUP to a process while it starts, and rewrites its settings file in place before each of them.
func signalsOfStart(fault Fault) startFault {
	return startFault{after: func(d *deployment, p *process) {
		random := rand.New(rand.NewPCG(fault.Target, uint64(p.startCount.Load())))
		if !p.awaitFirstSignal(d) {
			return
		}
		for range minSignals + random.IntN(maxSignals-minSignals+1) {
			p.signal(syscall.SIGHUP)
			if err := p.rewriteSettings(d); err != nil {
				d.checker.ProcessEnded(d.now(), p.settings.Node, false, err.Error())
				return
			}
			if p.ended() || !backoff.Wait(d.context, time.Duration(random.Int64N(int64(maxSignalInterval)))) {
				return
			}
		}
	}}
}

// awaitFirstSignal waits until a process that was just started may get signals. It returns false if the process or the soak ends first,
// or startBound passes.
func (p *process) awaitFirstSignal(d *deployment) bool {
	startedAt, progress := d.now(), startProgress{}
	for {
		samples := readThreads(p.processID())
		progress.add(d.now()-startedAt, handlesSignal(p.processID(), syscall.SIGHUP), samples)
		if progress.maySignal() {
			progress.subscribed = subscribesToSignal(p.processID(), syscall.SIGHUP)
			p.firstSignal.Store(&progress)
			return true
		}
		if progress.age > startBound || p.ended() || !backoff.Wait(d.context, signalPollInterval) {
			return false
		}
	}
}

// rewriteSettings rewrites the settings file in place. It is incomplete for incompleteFor.
func (p *process) rewriteSettings(d *deployment) error {
	content, err := json.Marshal(p.currentSettings())
	if err != nil {
		return errors.Wrap(err, "encode the settings")
	}
	if err := os.WriteFile(p.settingsPath, content[:len(content)/2], settingsMode); err != nil {
		return errors.Wrap(err, "write a part of the settings")
	}
	backoff.Wait(d.context, incompleteFor)
	return p.writeSettings(p.settingsPath) // also at the end of the soak; the store may have moved meanwhile
}

// takenPort keeps one of the ports of a process in use from before its start on: that for callers, readiness checks or peers.
func takenPort(fault Fault) startFault {
	return startFault{
		before: func(d *deployment, p *process) func() {
			addresses := []string{p.settings.ClientAddress, p.settings.ReadyAddress, p.forwarder.to}
			release, err := takePort(addresses[fault.Target>>33%uint64(len(addresses))])
			if err != nil {
				d.injected.add(skipped + string(PortTaken) + "_port")
				return func() {}
			}
			return release
		},
		after: func(d *deployment, _ *process) {
			backoff.Wait(d.context, minPortTaken+time.Duration(fault.Target>>40%uint64(maxPortTaken-minPortTaken)))
		},
	}
}

// takePort keeps a port in use. Connections to it are refused, as while no process has it.
func takePort(address string) (release func(), err error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Wrap(err, "parse an address")
	}
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "make a socket")
	}
	// With the option, the port can be bound while connections of the process that had it still end. Without it, nobody else can
	// listen there, although this socket does not.
	err = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	if err == nil {
		err = syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: parsed.Addr().As4(), Port: int(parsed.Port())})
	}
	if err == nil {
		err = syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 0)
	}
	if err != nil {
		return nil, errors.CombineErrors(errors.Wrap(err, "take a port"), syscall.Close(descriptor))
	}
	return func() { _ = syscall.Close(descriptor) }, nil
}
