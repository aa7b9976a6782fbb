package loads

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/rendezvous"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Bounds of reporting.
const (
	// replyTimeout is the timeout for the response of a collector.
	replyTimeout = 150 * time.Millisecond
	// maxCollectors bounds the candidates for the collector of a zone.
	maxCollectors = 32
	// maxIntervalMillis is the longest report interval that a collector may request.
	maxIntervalMillis = 2000
)

// errNoCollector is returned when there is no node that a report could be sent to.
var errNoCollector = errors.New("no collector for the zone")

// Peer is one other node, as listed in the directory.
type Peer struct {
	Zone    string
	Address string
}

// Placer is the source of this node's reports and receives aggregates. *placement.Placer implements it.
type Placer interface {
	// InFlight returns this node's own calls.
	InFlight() Counts
	// TakePrefixes returns the prefixes that this node's calls have newly caused engines to cache
	// since the last call.
	TakePrefixes() []Prefix
	// ReceiveLoads replaces the last aggregate. It must not block.
	ReceiveLoads(aggregate Aggregate)
	// ExpireLoads invalidates the last aggregate.
	ExpireLoads()
}

// Observer is notified when aggregates stop and when they arrive again. It must not block.
type Observer interface {
	LoadsLost(cause error)
	LoadsRegained(collector string)
	TrafficObserver
}

// peerClient sends requests to peers. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Options configure a Reporter.
type Options struct {
	Node        string
	Run         uint64 // id of this node run, one process lifetime
	Zone        string
	OtherRegion func(zone string) bool // whether the zone is in another region; nil if none is
	Address     string                 // where this node serves peers
	Client      peerClient
	Placer      Placer
	Collector   *Collector // of this node
	Observer    Observer
	Suspected   func(address string) bool // whether a node is skipped because its zone is suspected; nil if none is
}

// Reporter reports this node's calls and, if this node is the collector of its zone, the sums of
// the zone. Safe for concurrent use.
type Reporter struct {
	options Options

	mutex          sync.Mutex
	selectors      map[string]*rendezvous.Selector // candidates for the collector, by zone
	links          map[linkKey]*link
	unsentPrefixes []Prefix             // not yet received by a collector
	exchangedAt    map[string]time.Time // when sums were last exchanged, by zone of another region

	// Only Run uses these.
	index      *keyIndex // of the engines that this node calls
	receivedAt time.Time // when the last aggregate was received
	lost       bool
}

// NewReporter returns a Reporter without peers.
func NewReporter(options Options) *Reporter {
	return &Reporter{
		options:     options,
		selectors:   make(map[string]*rendezvous.Selector),
		links:       make(map[linkKey]*link),
		exchangedAt: make(map[string]time.Time),
		index:       newKeyIndex(),
	}
}

// SetPeers replaces the other nodes.
func (r *Reporter) SetPeers(peers []Peer) {
	byZone := map[string][]string{r.options.Zone: {r.options.Address}}
	listed := map[string]bool{r.options.Address: true}
	for _, peer := range peers {
		byZone[peer.Zone] = append(byZone[peer.Zone], peer.Address)
		listed[peer.Address] = true
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for zone, addresses := range byZone {
		if r.selectors[zone] == nil {
			r.selectors[zone] = rendezvous.New(maxCollectors)
			r.selectors[zone].SetExcluded(r.options.Suspected)
		}
		r.selectors[zone].Set(addresses)
	}
	for zone := range r.selectors {
		if byZone[zone] == nil {
			delete(r.selectors, zone)
		}
	}
	for to := range r.links {
		if !listed[to.address] {
			delete(r.links, to)
		}
	}
}

// Run sends reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.receivedAt = time.Now()
	for interval := minInterval; backoff.Wait(ctx, interval); {
		own := r.options.Placer.InFlight()
		interval = max(minInterval, r.reportOnce(ctx, own))
		isCollector := r.exchangeSums(ctx)
		if len(own) == 0 && !isCollector {
			interval = idleInterval
		}
	}
}

// reportOnce reports this node's calls to the zone's collector, passes its aggregate on, and
// returns the report interval that the collector requests.
func (r *Reporter) reportOnce(ctx context.Context, own Counts) time.Duration {
	collector, aggregate, err := r.requestAggregate(ctx, own)
	now := time.Now()
	switch {
	case err == nil:
		r.options.Placer.ReceiveLoads(aggregate)
		r.receivedAt = now
		if r.lost {
			r.lost = false
			r.options.Observer.LoadsRegained(collector)
		}
	case ctx.Err() == nil && now.Sub(r.receivedAt) > reportLifetime && !r.lost:
		r.lost = true
		r.options.Placer.ExpireLoads()
		r.options.Observer.LoadsLost(err)
	}
	return aggregate.ReportInterval
}

// requestAggregate reports to the zone's collector and returns its address and its aggregate.
func (r *Reporter) requestAggregate(ctx context.Context, own Counts) (string, Aggregate, error) {
	r.mutex.Lock()
	selector := r.selectors[r.options.Zone]
	r.unsentPrefixes = append(r.unsentPrefixes, r.options.Placer.TakePrefixes()...)
	r.unsentPrefixes = r.unsentPrefixes[max(0, len(r.unsentPrefixes)-maxPrefixes):]
	prefixes := r.unsentPrefixes
	r.mutex.Unlock()
	err := errNoCollector
	if selector == nil {
		return "", Aggregate{}, err
	}
	for _, address := range selector.Candidates(r.options.Zone, time.Now()) {
		to := r.link(linkKey{address: address})
		report := r.ownReport(to, own)
		report.Prefixes = encodePrefixes(prefixes)
		report.Position = to.responses.position().encoded()
		var response *wirepb.LoadAggregate
		response, err = r.exchange(ctx, to, report)
		if err != nil {
			selector.Suspect(address, time.Now())
			continue
		}
		selector.ClearSuspicion(address)
		r.mutex.Lock()
		r.unsentPrefixes = r.unsentPrefixes[min(len(prefixes), len(r.unsentPrefixes)):]
		r.mutex.Unlock()
		aggregate, err := to.decode(response)
		if err != nil {
			r.options.Observer.LoadsDropped(address, err)
			return address, Aggregate{}, errors.Wrapf(err, "aggregate of %s", address)
		}
		return address, aggregate, nil
	}
	return "", Aggregate{}, err
}

// ownReport returns this node's own calls, as a delta if the peer is known to accept deltas.
func (r *Reporter) ownReport(to *link, own Counts) *wirepb.ReportLoads {
	if !to.takesDeltas {
		return &wirepb.ReportLoads{Loads: encodeCounts(own, 1)}
	}
	if r.index.isFull() {
		r.index.startGeneration(func(int) bool { return false })
	}
	return &wirepb.ReportLoads{Delta: to.encoder.encode(r.index, r.index.callsByIndex(own), 1, to.acknowledged)}
}

// link returns the state of the exchange with a collector.
func (r *Reporter) link(to linkKey) *link {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.linkLocked(to)
}

// linkLocked is link with the mutex held.
func (r *Reporter) linkLocked(to linkKey) *link {
	if r.links[to] == nil {
		r.links[to] = &link{linkKey: to}
	}
	return r.links[to]
}

// exchange sends one report and returns the response. It calls this node's own collector directly.
func (r *Reporter) exchange(ctx context.Context, to *link, report *wirepb.ReportLoads) (*wirepb.LoadAggregate, error) {
	report.Run = r.options.Run
	report.ReceivedFrom, report.PrefixesReceived = to.runID, to.lastReceivedPrefix
	response, err := r.send(ctx, to.address, report)
	if err != nil {
		to.recordFailure()
		return nil, err
	}
	to.recordResponse(response)
	return response, nil
}

// send sends one report and returns the response.
func (r *Reporter) send(ctx context.Context, address string, report *wirepb.ReportLoads) (*wirepb.LoadAggregate, error) {
	if address == r.options.Address {
		response, err := r.options.Collector.takeReport(report)
		if response == nil {
			return nil, errors.Wrap(err, "this node's own report was dropped")
		}
		if err != nil {
			r.options.Observer.LoadsDropped(address, err)
		}
		return response, nil
	}
	r.options.Observer.LoadsTransferred(Sent, reportForm(report), proto.Size(report))
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := r.options.Client.Do(ctx, address, &wirepb.Request{
		From: r.options.Node,
		Body: &wirepb.Request_ReportLoads{ReportLoads: report},
	}, nil)
	if err != nil {
		return nil, err
	}
	if code := api.Code(reply.GetCode()); code != api.OK {
		return nil, errors.Newf("%s: %s", address, reply.GetDetail())
	}
	response := &wirepb.LoadAggregate{}
	if err := proto.Unmarshal(reply.GetBody(), response); err != nil {
		return nil, errors.Wrapf(err, "aggregate of %s", address)
	}
	r.options.Observer.LoadsTransferred(Received, aggregateForm(response), len(reply.GetBody()))
	return response, nil
}

// exchangeSums exchanges this zone's sums with the collector of each other zone, if nodes report to
// this one, and with the next candidate of this zone: that one may be the collector of nodes that
// consider another one dead. It reports whether nodes report to this one.
func (r *Reporter) exchangeSums(ctx context.Context) bool {
	if !r.options.Collector.HasReporters() {
		return false
	}
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := time.Now()
	contacted := map[string]bool{r.options.Address: true} // an address may be listed in two zones, if a node restarted elsewhere
	for zone, selector := range r.selectors {
		if !r.exchangeDue(zone, now) {
			continue
		}
		for _, address := range selector.Candidates(zone, now) {
			if contacted[address] {
				continue
			}
			contacted[address] = true
			to := r.linkLocked(linkKey{address: address, aggregated: true})
			exchanges.Go(func() { r.exchangeWith(ctx, selector, to) })
			break
		}
	}
	return true
}

// exchangeDue reports whether sums are to be exchanged with a zone now, and records the exchange.
// The mutex is held.
func (r *Reporter) exchangeDue(zone string, now time.Time) bool {
	if r.options.OtherRegion == nil || !r.options.OtherRegion(zone) {
		return true
	}
	if now.Sub(r.exchangedAt[zone]) < otherRegionInterval {
		return false
	}
	r.exchangedAt[zone] = now
	return true
}

// exchangeWith exchanges sums with one node.
func (r *Reporter) exchangeWith(ctx context.Context, selector *rendezvous.Selector, to *link) {
	report, lastPrefix := r.options.Collector.zoneReport(to, to.lastReportedPrefix)
	report.Position = r.options.Collector.responsePosition(to.runID).encoded()
	runID := to.runID
	response, err := r.exchange(ctx, to, report)
	if err != nil {
		selector.Suspect(to.address, time.Now())
		return
	}
	selector.ClearSuspicion(to.address)
	to.lastReportedPrefix = lastPrefix
	if runID != 0 && runID != response.GetRun() {
		to.lastReportedPrefix = 0 // the peer has restarted
	}
	if err := r.options.Collector.receiveAggregate(response); err != nil {
		r.options.Observer.LoadsDropped(to.address, err)
		return
	}
	to.lastReceivedPrefix = response.GetPrefixesReceived()
}
