package loads

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// Limits in bytes per second.
const (
	// controlLimit is what a node may spend on all control traffic.
	controlLimit = 7000
	// loadsLimit is what load reports may take of that.
	loadsLimit = controlLimit / 2
)

// scenario is a fleet and the load on it.
type scenario struct {
	zones, nodesOfZone, engines int
	requests                    float64       // per second
	duration                    time.Duration // mean duration of a request at its engine
	prefixes                    float64       // newly cached prefixes per second
	seconds                     float64       // simulated time
	limit                       float64       // bytes per second of the median node
}

// Scenarios of the sizes in docs/design/loads.md. In the first three, each engine serves 27
// requests of 0.22 s per second. The last is the largest size: 2.2 million tokens per second are
// 229 per request, which at 29 ms each take 6.6 s.
var (
	nodes12  = scenario{zones: 3, nodesOfZone: 4, engines: 12, requests: 327, duration: 220 * time.Millisecond, prefixes: 1, seconds: 20, limit: controlLimit}
	nodes66  = scenario{zones: 3, nodesOfZone: 22, engines: 45, requests: 1200, duration: 220 * time.Millisecond, prefixes: 3, seconds: 20, limit: loadsLimit}
	nodes300 = scenario{zones: 6, nodesOfZone: 50, engines: 102, requests: 2780, duration: 220 * time.Millisecond, prefixes: 5, seconds: 20, limit: loadsLimit}
	nodes420 = scenario{zones: 5, nodesOfZone: 84, engines: 2700, requests: 9600, duration: 6640 * time.Millisecond, prefixes: 10, seconds: 6, limit: loadsLimit}
)

// result holds the measurements of one run.
type result struct {
	// Bytes per second, sent and received, with frames.
	median, busiest, mean float64

	maxError float64 // largest relative error of a node's sum of an engine, against what all have just reported
}

// engineCalls holds the running calls, by node and engine.
type engineCalls struct {
	random *rand.Rand
	calls  [][]int
	total  []int
}

// begin starts one call: with probability one half at the engine of its conversation, which is any
// engine, else at the least busy of eight, as placement samples them.
func (e *engineCalls) begin() {
	engine := e.random.IntN(len(e.total))
	if e.random.IntN(2) == 0 {
		for range 7 {
			if other := e.random.IntN(len(e.total)); e.total[other] < e.total[engine] {
				engine = other
			}
		}
	}
	e.calls[e.random.IntN(len(e.calls))][engine]++
	e.total[engine]++
}

// advance ends and starts the calls of the elapsed time.
func (e *engineCalls) advance(s scenario, elapsed time.Duration) {
	endingShare := 1 - math.Exp(-float64(elapsed)/float64(s.duration))
	for _, calls := range e.calls {
		for engine, count := range calls {
			for range count {
				if e.random.Float64() < endingShare {
					calls[engine]--
					e.total[engine]--
				}
			}
		}
	}
	for range int(s.requests * float64(s.duration) / float64(time.Second) * endingShare) {
		e.begin()
	}
}

// run has a fleet report, of a build with or without deltas. In a benchmark the clock is real, but
// rates are computed from the time that would have passed. Traffic of the first rounds, in which
// all nodes get the full state, is not counted.
func run(s scenario, oldBuild bool) result {
	m, nodes := newFleet(s.zones, s.nodesOfZone)
	running := &engineCalls{random: rand.New(rand.NewPCG(1, 1)), total: make([]int, s.engines)}
	for _, n := range nodes {
		running.calls = append(running.calls, make([]int, s.engines))
		zone := n.options.Zone
		n.options.OtherRegion = func(other string) bool { return (zone >= "zone-3") != (other >= "zone-3") }
		m.oldBuild[n.address] = oldBuild
	}
	for range int(s.requests * s.duration.Seconds()) {
		running.begin()
	}
	interval := max(minInterval, time.Duration(s.nodesOfZone)*intervalPerReporter)
	const uncounted = 4
	rounds := int(s.seconds / interval.Seconds())
	for i := range rounds {
		if i == uncounted {
			clear(m.bytesByNode)
		}
		for j, n := range nodes {
			n.placer.own = make(Counts)
			for engine, calls := range running.calls[j] {
				if calls > 0 {
					n.placer.own[EngineKey(engine*7919+1)] = calls
				}
			}
			if running.random.Float64() < s.prefixes*interval.Seconds()/float64(len(nodes)) {
				n.placer.newPrefixes = []Prefix{{Engine: 1, Hash: running.random.Uint64()}}
			}
		}
		runRound(m, nodes)
		if i < rounds-1 {
			running.advance(s, interval)
		}
		time.Sleep(interval)
	}
	measured := rates(m, nodes, time.Duration(rounds-uncounted)*interval)
	// Everyone has reported; two more rounds bring each the final sums.
	for range 2 {
		runRound(m, nodes)
	}
	measured.maxError = worstError(nodes, running)
	return measured
}

// rates returns the bytes per second that nodes sent and received.
func rates(m *network, nodes []*node, elapsed time.Duration) result {
	var all []float64
	for _, n := range nodes {
		all = append(all, float64(m.bytesByNode[n.address])/elapsed.Seconds())
	}
	sum := 0.0
	for _, one := range all {
		sum += one
	}
	slices.Sort(all)
	return result{median: all[len(all)/2], busiest: all[len(all)-1], mean: sum / float64(len(all))}
}

// worstError returns the largest relative error of a node's sum of an engine, taking 8 calls as the minimum.
func worstError(nodes []*node, running *engineCalls) float64 {
	maxError := 0.0
	for j, n := range nodes {
		for engine, total := range running.total {
			others := total - running.calls[j][engine]
			reported := n.placer.aggregate.Others[EngineKey(engine*7919+1)]
			maxError = max(maxError, math.Abs(float64(reported-others))/float64(max(others, sumTolerance)))
		}
	}
	return maxError
}

// TestNewsOfLoadsKeepsToItsShare runs fleets of all sizes, the largest included, with the messages
// as they are sent over the network. docs/CAPACITY.md has the figures.
func TestNewsOfLoadsKeepsToItsShare(t *testing.T) {
	for name, l := range map[string]scenario{"12 nodes": nodes12, "66 nodes": nodes66, "300 nodes": nodes300, "420 nodes": nodes420} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				measured := run(l, false)
				t.Logf("%.0f bytes per second at the median node, %.0f at the busiest, %.0f on average; maximum error %.3f", measured.median, measured.busiest, measured.mean, measured.maxError)
				if measured.median > l.limit {
					t.Errorf("the median node spends %.0f bytes per second on load reports, more than %.0f", measured.median, l.limit)
				}
				if l.engines == nodes420.engines && measured.mean > loadsLimit {
					t.Errorf("all nodes, collectors included, spend %.0f bytes per second on average, more than %d", measured.mean, loadsLimit)
				}
				if measured.maxError > 1.0/sumTolerance {
					t.Errorf("a sum is off by %.3f", measured.maxError)
				}
				if l.engines < 200 && measured.maxError != 0 {
					t.Errorf("with fewer than 200 engines a sum is off by %.3f", measured.maxError)
				}
			})
		})
	}
}

// BenchmarkLoadReports runs a minute, in which the full state is sent again once, with nodes that
// use deltas, and ten seconds with nodes that don't. It takes minutes; -benchtime 1x is enough.
func BenchmarkLoadReports(b *testing.B) {
	for name, l := range map[string]scenario{"12 nodes": nodes12, "66 nodes": nodes66, "300 nodes": nodes300, "420 nodes": nodes420} {
		for _, oldBuild := range []bool{false, true} {
			l.seconds = 60
			if oldBuild {
				l.seconds = 10
			}
			b.Run(fmt.Sprintf("%s/full=%v", name, oldBuild), func(b *testing.B) {
				for b.Loop() {
					measured := run(l, oldBuild)
					b.ReportMetric(measured.median, "B/s")
					b.ReportMetric(measured.busiest, "busiest-B/s")
					b.ReportMetric(measured.mean, "mean-B/s")
				}
			})
		}
	}
}

// BenchmarkAggregateAtFullSize measures the cost of one report to the collector of a zone of the
// largest size: with the reports of 84 nodes and of four other zones.
func BenchmarkAggregateAtFullSize(b *testing.B) {
	m, nodes := newFleet(nodes420.zones, nodes420.nodesOfZone)
	running := &engineCalls{random: rand.New(rand.NewPCG(1, 1)), total: make([]int, nodes420.engines)}
	for range nodes {
		running.calls = append(running.calls, make([]int, nodes420.engines))
	}
	for range int(nodes420.requests * nodes420.duration.Seconds()) {
		running.begin()
	}
	for j, n := range nodes {
		for engine, calls := range running.calls[j] {
			if calls > 0 {
				n.placer.own[EngineKey(engine*7919+1)] = calls
			}
		}
	}
	for range 3 {
		runRound(m, nodes)
	}
	var reporting *node
	for _, n := range nodes {
		if !n.options.Collector.HasReporters() {
			reporting = n
			break
		}
	}
	for b.Loop() {
		reporting.reportOnce(context.Background(), reporting.placer.own)
	}
}
