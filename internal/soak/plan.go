// Package soak runs the real programs against stand-ins for the operators' platform, injects faults from outside, and
// checks the product's promises by what callers and engines observe. Plan and Checker are pure: time and randomness
// are arguments.
package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind names a fault.
type Kind string

// Kinds of faults.
const (
	StoreRefuse           Kind = "store_refuse"          // half of the store's calls get 503
	StoreThrottle         Kind = "store_throttle"        // half get 429
	StoreLoseReply        Kind = "store_lose_reply"      // a third are applied, and their responses are lost
	StoreHang             Kind = "store_hang"            // a third are not applied and never answered
	StoreLate             Kind = "store_late"            // a third are applied late and never answered
	StoreUnavailable      Kind = "store_away"            // all get 503
	StoreRejectsProcesses Kind = "store_turns_away"      // a third of the processes get 503, no response, or a reset
	StorePartsHang        Kind = "store_parts"           // a quarter of its parts do not respond
	StoreCompaction       Kind = "store_forgets"         // its history is dropped
	StoreSlow             Kind = "store_slow"            // each response takes 50 times as long
	ProcessStop           Kind = "process_stop"          // SIGTERM, then a restart
	ProcessPause          Kind = "process_pause"         // SIGSTOP, then SIGCONT
	ProcessStopPause      Kind = "process_stop_pause"    // SIGTERM, then SIGSTOP and SIGCONT before the process exits
	ProcessKill           Kind = "process_kill"          // SIGKILL, then a restart
	ProcessKillAll        Kind = "processes_kill"        // SIGKILL to all at once, then all are restarted
	LinkDelay             Kind = "link_delay"            // bytes between two groups of processes arrive late
	LinkReset             Kind = "link_reset"            // connections between them are reset
	LinkOneWay            Kind = "link_one_way"          // nothing passes from the first group to the second
	LinkBlackhole         Kind = "link_silent"           // nothing passes in either direction
	ZonePartition         Kind = "zone_cut"              // the same between one zone and all others, and the store does not respond to the zone
	EngineDrain           Kind = "engine_leave"          // drains, and another engine replaces it
	EngineDeregister      Kind = "engine_vanish"         // its entry is removed without notice; it keeps serving for drainedLifetime
	EngineCrash           Kind = "engine_crash"          // is terminated, and another engine replaces it
	EngineCold            Kind = "engine_cold"           // crashes, and a cold engine replaces it; in half of the cases together with all others of its service
	EngineRestart         Kind = "engine_restart"        // crashes, and restarts under its ID
	EngineErrors          Kind = "engine_errors"         // half of its answers are 500
	EngineRefuse          Kind = "engine_refuse"         // half of its answers state that the request was not executed
	EngineAbort           Kind = "engine_break"          // half of its answers are aborted
	ZoneEvacuated         Kind = "zone_evacuated"        // ordered, and cancelled later
	ConfigurationReroute  Kind = "configuration_new"     // a route goes to another service
	ConfigurationWeights  Kind = "configuration_weights" // the route is split between two services
	ConfigurationTimeout  Kind = "configuration_timeout" // of all routes
	ConfigurationIdle     Kind = "configuration_idle"    // idle timeout of connections
	ForeignEntries        Kind = "strangers"             // entries that name no engine, one of them in place of an engine's own
	EngineEndless         Kind = "engine_endless"        // half of its answers are bytes without an end
	StoreMoves            Kind = "store_moves"           // to other addresses, which settings files name without a signal
	ReleaseKillAll        Kind = "release_kill"          // the models' engines get one version, then SIGKILL to all processes at once
	FatalRequest          Kind = "fatal_request"         // a caller sends a request again and again that ends every engine that runs it
	StartSignals          Kind = "start_signals"         // SIGHUP again and again while processes start, and their settings files are rewritten in place
	PortTaken             Kind = "port_taken"            // a port of a process is in use while the process starts
	LargeBodies           Kind = "large_bodies"          // many clients of one process send most of a large body, and then nothing
	FaultSeries           Kind = "series"                // signals, configuration changes and leaving engines in close succession
)

// Disruptions can cut processes off from the store or their peers; Operations leave the processes that they do not
// concern connected.
var (
	Disruptions = []Kind{StoreRefuse, StoreThrottle, StoreLoseReply, StoreHang, StoreLate, StoreUnavailable, StoreRejectsProcesses, StorePartsHang, StoreCompaction, StoreSlow, ProcessPause, ProcessStopPause, ProcessKill, ProcessKillAll,
		LinkDelay, LinkReset, LinkOneWay, LinkBlackhole, ZonePartition}
	Operations = []Kind{ProcessStop, EngineDrain, EngineDeregister, EngineCrash, EngineCold, EngineErrors, EngineRefuse, EngineAbort, ZoneEvacuated, ConfigurationReroute,
		EngineRestart, ConfigurationWeights, ConfigurationTimeout, ConfigurationIdle, ForeignEntries}
)

// seriesKinds are the kinds of the steps of a series.
var seriesKinds = []Kind{ProcessStop, ProcessStop, ProcessPause, ProcessStopPause, ProcessKill, EngineDrain, EngineDeregister, EngineRestart,
	ConfigurationReroute, ConfigurationWeights, ConfigurationTimeout, ConfigurationIdle}

// Kinds returns all kinds.
func Kinds() []Kind {
	return append(slices.Concat(Disruptions, Operations), FaultSeries, EngineEndless, StoreMoves, ReleaseKillAll, FatalRequest, StartSignals, PortTaken, LargeBodies)
}

// Fault is one planned fault.
type Fault struct {
	Kind     Kind
	At       time.Duration // from the start of the soak
	Duration time.Duration // 0 if the fault has no end of its own
	Target   uint64        // selects the process, engine or zone, modulo their number
}

// Times of a plan. A cycle starts with disruptions and has none towards its end, so that processes stay connected long
// enough for the bounds to be checked.
const (
	cycle                  = 30 * time.Second
	disruptionsUntil       = 6 * time.Second  // after the start of a cycle
	operationsUntil        = 24 * time.Second // after the start of a cycle
	minFaultDuration       = time.Second
	maxFaultDuration       = 4 * time.Second
	evacuationDuration     = 12 * time.Second
	foreignEntriesDuration = drainBound + 3*time.Second // longer than the bound for the engine whose entry is overwritten
)

// Maximum number of faults per cycle.
const (
	maxDisruptions = 3
	maxOperations  = 4
	// endlessPerCycle is how many engines send bytes without an end in each cycle, beside the disruptions.
	endlessPerCycle = 4
	// fatalPerCycle is how many requests end their engines in each cycle, beside the disruptions.
	fatalPerCycle = 2
	// startSignalsPerCycle and portTakenPerCycle are how many faults disturb starts in each cycle, beside the disruptions.
	startSignalsPerCycle = 2
	portTakenPerCycle    = 2
	// largeBodiesPerCycle is how often clients send large bodies in each cycle, beside the operations.
	largeBodiesPerCycle = 1
)

// separateKinds are drawn from random streams of their own, so that other kinds are drawn the same without them.
var separateKinds = []struct {
	kind     Kind
	stream   uint64 // of the seed; 0 and 1 are those of the other kinds and of series
	perCycle int
	span     time.Duration // after the start of a cycle
}{
	{EngineEndless, 2, endlessPerCycle, disruptionsUntil},
	{StoreMoves, 3, 1, disruptionsUntil},
	{ReleaseKillAll, 4, 1, disruptionsUntil},
	{FatalRequest, 5, fatalPerCycle, disruptionsUntil},
	{StartSignals, 6, startSignalsPerCycle, disruptionsUntil},
	{PortTaken, 7, portTakenPerCycle, disruptionsUntil},
	{LargeBodies, 8, largeBodiesPerCycle, operationsUntil},
}

// Steps of a series and the times between them. A step can still be in progress when the next ones start.
const (
	minSteps        = 6
	maxSteps        = 14
	maxStepInterval = 600 * time.Millisecond // until the next step
	minStepDuration = 300 * time.Millisecond // of steps that have an end of their own
	maxStepDuration = 1500 * time.Millisecond
)

// Plan returns the faults of a soak of the given duration, ordered by time: a function of its arguments alone. It
// draws from the given kinds.
func Plan(seed uint64, duration time.Duration, kinds []Kind) []Fault {
	random := rand.New(rand.NewPCG(seed, 0))
	disruptions, operations := selectKinds(Disruptions, kinds), selectKinds(Operations, kinds)
	var planned []Fault
	seriesRandom := rand.New(rand.NewPCG(seed, 1)) // separate, so that other kinds are drawn the same without a series
	for start := time.Duration(0); start < duration; start += cycle {
		planned = append(planned, draw(random, disruptions, 1+random.IntN(maxDisruptions), start, disruptionsUntil)...)
		planned = append(planned, draw(random, operations, 2+random.IntN(maxOperations-1), start, operationsUntil)...)
		if slices.Contains(kinds, FaultSeries) {
			planned = append(planned, drawSeries(seriesRandom, start)...)
		}
	}
	for _, separate := range separateKinds {
		if !slices.Contains(kinds, separate.kind) {
			continue
		}
		random := rand.New(rand.NewPCG(seed, separate.stream))
		for start := time.Duration(0); start < duration; start += cycle {
			planned = append(planned, draw(random, []Kind{separate.kind}, separate.perCycle, start, separate.span)...)
		}
	}
	planned = slices.DeleteFunc(planned, func(f Fault) bool { return f.At >= duration })
	slices.SortStableFunc(planned, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return planned
}

// draw draws count faults of the given kinds that start within a span.
func draw(random *rand.Rand, kinds []Kind, count int, start, span time.Duration) []Fault {
	if len(kinds) == 0 {
		return nil
	}
	drawn := make([]Fault, count)
	for i := range drawn {
		fault := Fault{
			Kind:     kinds[random.IntN(len(kinds))],
			At:       start + time.Duration(random.Int64N(int64(span))),
			Duration: minFaultDuration + time.Duration(random.Int64N(int64(maxFaultDuration-minFaultDuration))),
			Target:   random.Uint64(),
		}
		switch fault.Kind {
		case ZoneEvacuated:
			fault.Duration = evacuationDuration
		case ForeignEntries:
			fault.Duration = foreignEntriesDuration
		}
		drawn[i] = fault
	}
	return drawn
}

// drawSeries draws a series that starts in the part of the cycle where disruptions start.
func drawSeries(random *rand.Rand, start time.Duration) []Fault {
	at := start + time.Duration(random.Int64N(int64(disruptionsUntil)))
	steps := make([]Fault, minSteps+random.IntN(maxSteps-minSteps+1))
	for i := range steps {
		steps[i] = Fault{
			Kind:     seriesKinds[random.IntN(len(seriesKinds))],
			At:       at,
			Duration: minStepDuration + time.Duration(random.Int64N(int64(maxStepDuration-minStepDuration))),
			Target:   random.Uint64(),
		}
		at += time.Duration(random.Int64N(int64(maxStepInterval)))
	}
	return steps
}

// selectKinds returns the kinds of a list that are selected.
func selectKinds(list, selected []Kind) []Kind {
	return slices.DeleteFunc(slices.Clone(list), func(kind Kind) bool { return !slices.Contains(selected, kind) })
}

// IsKind reports whether the kind exists.
func IsKind(kind Kind) bool { return slices.Contains(Kinds(), kind) }
