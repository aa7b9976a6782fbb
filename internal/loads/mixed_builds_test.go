package loads

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// lossyNetwork loses requests and replies, and delivers some requests again later.
type lossyNetwork struct {
	*network
	random   *rand.Rand
	lossless bool
	delayed  []func()
}

// Do implements peerClient.
func (r *lossyNetwork) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	r.mutex.Lock()
	fault := r.random.IntN(8)
	if r.lossless {
		fault = 7
	}
	if fault < 2 {
		r.delayed = append(r.delayed, func() {
			if _, err := r.network.Do(ctx, address, request, onPart); err != nil {
				panic(err) // no node of this test is dead
			}
		})
	}
	r.mutex.Unlock()
	if fault == 0 {
		return nil, errors.New("request lost")
	}
	reply, err := r.network.Do(ctx, address, request, onPart)
	if fault == 2 {
		return nil, errors.New("reply lost")
	}
	return reply, err
}

// deliverDelayed delivers the delayed requests in random order.
func (r *lossyNetwork) deliverDelayed() {
	delayed := r.delayed
	r.delayed = nil
	r.random.Shuffle(len(delayed), func(i, j int) { delayed[i], delayed[j] = delayed[j], delayed[i] })
	for _, deliver := range delayed {
		deliver()
	}
}

// restart restarts a node, possibly as another build.
func restart(m *network, n *node, run uint64, oldBuild bool) {
	peers := n.selectors
	m.oldBuild[n.address] = oldBuild
	m.collectors[n.address] = NewCollector(run, time.Now, n.observer)
	options := n.options
	options.Run, options.Collector = run, m.collectors[n.address]
	n.Reporter = NewReporter(options)
	n.selectors = peers
}

// TestMixedBuildsAgree has nodes of builds with and without deltas report to each other over a
// network that loses, repeats and delays messages, while nodes restart as either build and calls
// start and end. Once the network is lossless and old reports have expired, every node must have
// the others' calls.
func TestMixedBuildsAgree(t *testing.T) {
	properties := newProperties(60)
	properties.Property("all agree once the network is lossless", prop.ForAll(func(seed uint64) string {
		failure := ""
		virtualtime.Test(t, func(*testing.T) { failure = runMixedBuilds(seed) })
		return failure
	}, gen.UInt64()))
	properties.TestingRun(t)
}

func runMixedBuilds(seed uint64) string {
	m, nodes := newFleet(3, 4)
	r := &lossyNetwork{network: m, random: rand.New(rand.NewPCG(seed, 2))}
	for i, n := range nodes {
		n.options.Client = r
		m.oldBuild[n.address] = i%3 == 0
	}
	run := uint64(1000)
	for range 40 {
		for _, n := range nodes {
			n.placer.own = Counts{EngineKey(r.random.IntN(6)): r.random.IntN(9), 77: 1}
		}
		if r.random.IntN(4) == 0 {
			run++
			restart(m, nodes[r.random.IntN(len(nodes))], run, r.random.IntN(2) == 0)
		}
		runRound(m, nodes)
		r.deliverDelayed()
		time.Sleep(minInterval)
	}
	r.lossless = true
	for range 60 { // until suspicions and old reports have expired
		runRound(m, nodes)
		time.Sleep(10 * minInterval)
	}
	return checkAggregates(nodes)
}

// checkAggregates returns which node does not have the calls of the others; empty if all do.
func checkAggregates(nodes []*node) string {
	total := make(Counts)
	for _, n := range nodes {
		total.add(n.placer.own)
	}
	for _, n := range nodes {
		for engine, calls := range total {
			if n.placer.aggregate.Others[engine] != calls-n.placer.own[engine] {
				return n.address + " does not have the others' calls"
			}
		}
	}
	return ""
}

// TestCollectorReplacedByAnOldBuildIsNoticed restarts the collector as an old build: it cannot read
// the next report, and the nodes must fall back to the full form.
func TestCollectorReplacedByAnOldBuildIsNoticed(t *testing.T) {
	m, nodes := newFleet(1, 3)
	for _, n := range nodes {
		n.placer.own[1] = 2
	}
	for range 3 {
		runRound(m, nodes)
	}
	collector := currentCollector(nodes)
	restart(m, collector, 99, true)
	for range 3 {
		runRound(m, nodes)
	}
	if failure := checkAggregates(nodes); failure != "" {
		t.Error(failure)
	}
	for _, n := range nodes {
		if n != collector && n.links[linkKey{address: collector.address}].takesDeltas {
			t.Errorf("%s assumes that the old build accepts deltas", n.address)
		}
	}
}

// currentCollector returns the node that the others report to.
func currentCollector(nodes []*node) *node {
	for _, n := range nodes {
		if n.options.Collector.HasReporters() {
			return n
		}
	}
	return nil
}

// TestRestartedCollectorSendsFullState restarts the collector. It must respond with the full state,
// which no node may drop.
func TestRestartedCollectorSendsFullState(t *testing.T) {
	m, nodes := newFleet(1, 6)
	for i, n := range nodes {
		n.placer.own[EngineKey(i+1)] = 2
	}
	for range 3 {
		runRound(m, nodes)
	}
	collector := currentCollector(nodes)
	for i, n := range nodes { // the collector receives the engines in another order
		n.placer.own = Counts{EngineKey(len(nodes) - i): 3, 50: 1}
	}
	restart(m, collector, 99, false)
	for range 3 {
		runRound(m, nodes)
	}
	if failure := checkAggregates(nodes); failure != "" {
		t.Error(failure)
	}
	for _, n := range nodes {
		if n != collector && n.observer.dropped > 0 {
			t.Errorf("%s dropped %d responses", n.address, n.observer.dropped)
		}
	}
}

// rejectingNetwork rejects every delta, as a build with other bounds might.
type rejectingNetwork struct {
	*network
	rejected    map[linkKey]int // in a row, by sender
	maxRejected int
	fullReports int // reports in full form
}

// Do implements peerClient.
func (r *rejectingNetwork) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	sender := linkKey{address: request.GetFrom(), aggregated: request.GetReportLoads().GetAggregated()}
	if request.GetReportLoads().GetDelta() != nil {
		r.rejected[sender]++
		r.maxRejected = max(r.maxRejected, r.rejected[sender])
		return &wirepb.Reply{Code: int32(api.MalformedRequest)}, nil
	}
	r.rejected[sender] = 0
	r.fullReports++
	return r.network.Do(ctx, address, request, onPart)
}

// TestRejectedDeltaIsFollowedByFullForm has nodes fall back to the form that all builds understand.
func TestRejectedDeltaIsFollowedByFullForm(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		m, nodes := newFleet(1, 2)
		r := &rejectingNetwork{network: m, rejected: make(map[linkKey]int)}
		for _, n := range nodes {
			n.placer.own[1] = 2
			n.options.Client = r
		}
		for range 60 {
			runRound(m, nodes)
			time.Sleep(10 * minInterval)
		}
		if r.maxRejected != 1 || r.fullReports < 4 {
			t.Errorf("%d deltas in a row were rejected, %d reports were in full form", r.maxRejected, r.fullReports)
		}
	})
}

// TestAddressInTwoZonesIsContactedOnce lists one node in its zone and, by a stale entry, in others.
func TestAddressInTwoZonesIsContactedOnce(t *testing.T) {
	m, nodes := newFleet(1, 2)
	reporter, other := nodes[0], nodes[1].address
	reporter.SetPeers([]Peer{{Zone: "zone-0", Address: other}, {Zone: "zone-1", Address: other}, {Zone: "zone-2", Address: other}})
	if _, err := m.collectors[reporter.address].takeReport(&wirepb.ReportLoads{Run: 7, Loads: &wirepb.EngineLoads{Nodes: 1}}); err != nil {
		t.Fatal(err)
	}
	reporter.exchangeSums(context.Background())
	if m.exchanged[other] != 1 {
		t.Errorf("the node was contacted %d times at once", m.exchanged[other])
	}
}
