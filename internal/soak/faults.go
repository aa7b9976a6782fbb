package soak

import (
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// skipped is the prefix under which faults are counted that found no free target or had no effect.
const skipped = "skipped_"

// storeFault is a fault that applies to one in everyNth calls to the store.
type storeFault struct {
	kind     Kind
	fault    operators.Fault
	everyNth int64
}

var storeFaultList = []storeFault{
	{StoreUnavailable, operators.Unavailable, 1},
	{StoreRefuse, operators.Unavailable, 2},
	{StoreThrottle, operators.Throttle, 2},
	{StoreLoseReply, operators.LoseReply, 3},
	{StoreHang, operators.Hang, 3},
	{StoreLate, operators.ApplyLate, 3},
	{StoreSlow, operators.Slow, 1},
}

// storeFaults holds the store faults in progress. Safe for concurrent use.
type storeFaults struct {
	active             activeFaults[Kind]
	unresponsiveGroups activeFaults[uint64] // groups of parts that do not respond
	calls              atomic.Int64
}

// partGroups is the number of groups of table parts. A fault of parts makes one group unresponsive.
const partGroups = 4

// groupOf returns the group of a part. Rows without a part belong to none.
func groupOf(part string) uint64 {
	if part == "" {
		return partGroups
	}
	return xxhash.Sum64String(part) % partGroups
}

// faultFor returns the fault that applies to a call. Faults with the same share of calls take turns, so that each one
// has an effect while the others are in progress.
func (s *storeFaults) faultFor(_, part string) operators.Fault {
	call := s.calls.Add(1)
	if s.unresponsiveGroups.has(groupOf(part)) {
		return operators.Hang
	}
	due := slices.DeleteFunc(slices.Clone(storeFaultList), func(f storeFault) bool { return call%f.everyNth != 0 || !s.active.has(f.kind) })
	if len(due) == 0 {
		return operators.Healthy
	}
	first := due[0]
	if first.everyNth == 1 {
		return first.fault // applies to all calls
	}
	due = slices.DeleteFunc(due, func(f storeFault) bool { return f.everyNth != first.everyNth })
	return due[call/first.everyNth%int64(len(due))].fault
}

// inject applies a fault from its start to its end.
func (d *deployment) inject(fault Fault) {
	injected := false
	switch fault.Kind {
	case ProcessStop, ProcessPause, ProcessStopPause, ProcessKill:
		injected = d.injectProcessFault(fault)
	case ProcessKillAll:
		injected = d.killAll(func() { backoff.Wait(d.context, untilBurstSpent(d.now())) })
	case ReleaseKillAll:
		injected = d.releaseAndKillAll(fault)
	case LinkDelay, LinkReset, LinkOneWay, LinkBlackhole, ZonePartition:
		injected = d.injectLinkFault(fault)
	case StoreRejectsProcesses:
		injected = d.rejectProcesses(fault)
	case StorePartsHang:
		injected = d.hangParts(fault)
	case StoreCompaction:
		injected = d.dropHistory()
	case StoreMoves:
		injected = d.moveStore(fault)
	case ZoneEvacuated:
		injected = d.evacuateZone(fault)
	case ConfigurationReroute, ConfigurationWeights, ConfigurationTimeout, ConfigurationIdle:
		injected = d.reconfigure(fault)
	case ForeignEntries:
		injected = d.injectForeignEntries(fault)
	case StartSignals:
		injected = d.restartBeside(fault, signalsOfStart(fault))
	case PortTaken:
		injected = d.restartBeside(fault, takenPort(fault))
	case LargeBodies:
		injected = d.sendLargeBodies(fault)
	case FatalRequest:
		injected = d.sendFatalRequest(fault)
	case EngineDrain, EngineDeregister, EngineCrash, EngineCold, EngineRestart, EngineErrors, EngineRefuse, EngineAbort, EngineEndless:
		injected = d.injectEngineFault(fault)
	default:
		injected = d.injectStoreFault(fault)
	}
	name := string(fault.Kind)
	if !injected {
		name = skipped + name
	}
	d.injected.add(name)
}

func (d *deployment) injectStoreFault(fault Fault) bool {
	if !slices.ContainsFunc(storeFaultList, func(f storeFault) bool { return f.kind == fault.Kind }) {
		return false
	}
	d.checker.DisruptionStarted(storeName, false)
	d.storeFaults.active.change(fault.Kind, 1)
	backoff.Wait(d.context, fault.Duration)
	d.storeFaults.active.change(fault.Kind, -1)
	d.checker.DisruptionEnded(d.now(), storeName, false)
	return true
}

// hangParts makes a group of the store's parts unresponsive while the others respond.
func (d *deployment) hangParts(fault Fault) bool {
	group := fault.Target % partGroups
	d.checker.DisruptionStarted(storeName, false)
	d.storeFaults.unresponsiveGroups.change(group, 1)
	backoff.Wait(d.context, fault.Duration)
	d.storeFaults.unresponsiveGroups.change(group, -1)
	d.checker.DisruptionEnded(d.now(), storeName, false)
	return true
}

// dropHistory makes the store drop its history: followers of its tables must read them again.
func (d *deployment) dropHistory() bool {
	d.checker.DisruptionStarted(storeName, false)
	d.store.DropHistory()
	d.checker.DisruptionEnded(d.now(), storeName, false)
	return true
}

// rejectionFaults are the ways in which the store rejects a process. If several are in progress, the first one
// applies.
var rejectionFaults = []operators.Fault{operators.Unavailable, operators.Hang, operators.LoseRequest}

// endpointFaults holds the faults of one process's store endpoint.
type endpointFaults struct {
	mutex  sync.Mutex // held until a change is applied
	active activeFaults[operators.Fault]
}

// change records that a fault of the endpoint starts (by 1) or ends (by -1). Other faults in progress continue.
func (a *endpointFaults) change(endpoint *operators.Endpoint, fault operators.Fault, by int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.active.change(fault, by)
	effective := operators.Healthy
	if first := slices.IndexFunc(rejectionFaults, a.active.has); first >= 0 {
		effective = rejectionFaults[first]
	}
	endpoint.SetFault(effective)
}

// changeEndpointFaults starts (by 1) or ends (by -1) a fault at the store endpoints of the given processes.
func changeEndpointFaults(processes []*process, fault operators.Fault, by int) {
	for _, p := range processes {
		p.endpointFaults.change(p.endpoint, fault, by)
	}
}

// rejectProcesses makes the store reject a third of the processes.
func (d *deployment) rejectProcesses(fault Fault) bool {
	var rejected []*process
	for i, p := range d.processes {
		if (uint64(i)+fault.Target)%3 == 0 {
			rejected = append(rejected, p)
		}
	}
	d.checker.DisruptionStarted(storeName, false) // the store is not stable for every process
	rejection := rejectionFaults[fault.Target/3%uint64(len(rejectionFaults))]
	changeEndpointFaults(rejected, rejection, 1)
	backoff.Wait(d.context, fault.Duration)
	changeEndpointFaults(rejected, rejection, -1)
	d.checker.DisruptionEnded(d.now(), storeName, false)
	return true
}

func (d *deployment) injectProcessFault(fault Fault) bool {
	p := d.processes[fault.Target%uint64(len(d.processes))]
	p.faultMutex.Lock() // wait for the previous fault of this process to end
	defer p.faultMutex.Unlock()
	if d.context.Err() != nil {
		return false
	}
	d.restartEnded(p) // otherwise the fault would hide that it had exited by itself
	if fault.Kind == ProcessStop {
		d.stop(p, func() {})
		return true
	}
	d.checker.DisruptionStarted(p.settings.Node, false)
	defer func() { d.checker.DisruptionEnded(d.now(), p.settings.Node, false) }()
	switch fault.Kind {
	case ProcessKill:
		d.checker.Killed(d.now(), p.settings.Node)
		p.kill()
		d.restart(p, restartAfter)
	case ProcessStopPause:
		d.stop(p, func() {
			backoff.Wait(d.context, stopPauseDelay)
			d.pause(p, min(fault.Duration, maxStepDuration))
		})
	default:
		d.pause(p, fault.Duration)
	}
	return true
}

// stopPauseDelay is the time between the stop signal to a process and its pause.
const stopPauseDelay = 300 * time.Millisecond

// pause pauses the running process, which may exit in that time.
func (d *deployment) pause(p *process, duration time.Duration) {
	p.signal(syscall.SIGSTOP)
	backoff.Wait(d.context, duration)
	p.signal(syscall.SIGCONT)
}

// killAll kills all processes at once and restarts them after restartAllAfter, as after a power failure of all
// machines. It first waits until faults of single processes have ended, and calls prepare.
func (d *deployment) killAll(prepare func()) bool {
	return d.killAllAndStart(prepare, startFault{})
}

// killAllAndStart is killAll with a fault of each of the starts.
func (d *deployment) killAllAndStart(prepare func(), atStart startFault) bool {
	for _, p := range d.processes {
		p.faultMutex.Lock()
		defer p.faultMutex.Unlock()
		d.checker.DisruptionStarted(p.settings.Node, false)
	}
	if d.context.Err() != nil {
		return false // processes that a fault has ended are not restarted any more
	}
	prepare()
	for _, p := range d.processes {
		if p.ended() {
			d.reportEnded(p) // it exited by itself before the kill
		}
		p.signal(syscall.SIGKILL)
	}
	for _, p := range d.processes {
		<-p.exited
	}
	var restarts sync.WaitGroup
	for _, p := range d.processes {
		restarts.Go(func() {
			d.restartWith(p, restartAllAfter, atStart)
			d.checker.DisruptionEnded(d.now(), p.settings.Node, false)
		})
	}
	restarts.Wait()
	return true
}

func (d *deployment) injectEngineFault(fault Fault) bool {
	s := d.slots[fault.Target%uint64(len(d.slots))]
	if !s.busy.TryLock() {
		return false
	}
	defer s.busy.Unlock()
	switch fault.Kind {
	case EngineDrain, EngineDeregister:
		d.retireEngine(s, fault.Kind == EngineDrain)
	case EngineCrash:
		d.crash(s, 0)
	case EngineCold:
		d.crashCold(s, fault)
	case EngineRestart:
		d.restartEngine(s, fault)
	default:
		return d.injectAnswerFault(s, fault)
	}
	return true
}

// evacuateZone orders a zone's evacuation and cancels it afterwards. Only one zone is evacuated at a time.
func (d *deployment) evacuateZone(fault Fault) bool {
	if !d.evacuationMutex.TryLock() {
		return false
	}
	defer d.evacuationMutex.Unlock()
	zone := zones[fault.Target%uint64(len(zones))]
	d.store.Evacuate(zone)
	d.checker.ZoneEvacuated(d.now(), zone, true)
	backoff.Wait(d.context, fault.Duration)
	d.checker.ZoneEvacuated(d.now(), zone, false)
	d.store.CancelEvacuation(zone)
	return true
}
