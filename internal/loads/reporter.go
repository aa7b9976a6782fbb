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
	// replyTimeout is how long a collector may take.
	replyTimeout = 150 * time.Millisecond
	// maxCollectors is how many nodes of a zone may be chosen to gather.
	maxCollectors = 32
	// maxPauseMillis is the longest pause that a collector may ask for.
	maxPauseMillis = 2000
)

// errNoCollector says that no node can be asked now.
var errNoCollector = errors.New("no node gathers for the zone")

// Peer is one node of the directory.
type Peer struct {
	Zone    string
	Address string
}

// Placer is what reports are about. *placement.Placer implements it.
type Placer interface {
	// InFlight returns this node's own calls.
	InFlight() Counts
	// NewPrefixes returns the prefixes that this node's calls have brought to engines
	// since the last call.
	NewPrefixes() []Prefix
	// Hear takes news. It must not block.
	Hear(news News)
	// Deaf says that there is no news any more.
	Deaf()
}

// Observer is told when news stops and when it comes again. It must not block.
type Observer interface {
	LoadsLost(cause error)
	LoadsRegained(collector string)
	LoadsDropped(collector string)
}

// asker sends requests to peers. *wire.Client implements it.
type asker interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Options are what a Reporter needs.
type Options struct {
	Node      string
	Run       uint64 // of this node
	Zone      string
	Address   string // where this node answers peers
	Asker     asker
	Placer    Placer
	Collector *Collector // of this node
	Observer  Observer
}

// Reporter reports this node's calls and, if this node gathers for its zone, what the
// zone reported. Safe for concurrent use.
type Reporter struct {
	options Options

	mutex  sync.Mutex
	zones  map[string]*rendezvous.Ring // nodes that may gather, by zone
	heard  map[hearer]hearing
	told   map[string]hearing // of this node's collector's prefixes by another one, by address
	unsent []Prefix           // until a collector has them

	heardAt time.Time // last news; the rest is used by Run alone
	lost    bool
}

// hearing is how far a collector's prefixes have been heard.
type hearing struct {
	run    uint64 // of the node at the other end
	number uint32
}

// hearer tells apart the two that hear of a collector: this node, and its collector.
type hearer struct {
	address  string // of the collector that is heard
	gathered bool
}

// NewReporter returns a reporter that knows no peers.
func NewReporter(options Options) *Reporter {
	return &Reporter{options: options, zones: make(map[string]*rendezvous.Ring), heard: make(map[hearer]hearing), told: make(map[string]hearing)}
}

// SetPeers replaces the other nodes.
func (r *Reporter) SetPeers(peers []Peer) {
	byZone := map[string][]string{r.options.Zone: {r.options.Address}}
	for _, peer := range peers {
		byZone[peer.Zone] = append(byZone[peer.Zone], peer.Address)
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for zone, addresses := range byZone {
		if r.zones[zone] == nil {
			r.zones[zone] = rendezvous.New(maxCollectors)
		}
		r.zones[zone].Set(addresses)
	}
	for zone := range r.zones {
		if byZone[zone] == nil {
			delete(r.zones, zone)
		}
	}
}

// Run reports until ctx ends.
func (r *Reporter) Run(ctx context.Context) {
	r.heardAt = time.Now()
	for pause := leastPause; backoff.Wait(ctx, pause); {
		own := r.options.Placer.InFlight()
		pause = max(leastPause, r.report(ctx, own))
		gathers := r.share(ctx)
		if len(own) == 0 && !gathers {
			pause = idlePause
		}
	}
}

// report tells the zone's collector of this node's calls, hands its news on, and
// returns the pause that the collector asks for.
func (r *Reporter) report(ctx context.Context, own Counts) time.Duration {
	collector, news, err := r.ask(ctx, own)
	now := time.Now()
	switch {
	case err == nil:
		r.options.Placer.Hear(news)
		r.heardAt = now
		if r.lost {
			r.lost = false
			r.options.Observer.LoadsRegained(collector)
		}
	case ctx.Err() == nil && now.Sub(r.heardAt) > reportLife && !r.lost:
		r.lost = true
		r.options.Placer.Deaf()
		r.options.Observer.LoadsLost(err)
	}
	return news.Pause
}

// ask reports to the zone's collector.
func (r *Reporter) ask(ctx context.Context, own Counts) (string, News, error) {
	r.mutex.Lock()
	ring := r.zones[r.options.Zone]
	r.unsent = append(r.unsent, r.options.Placer.NewPrefixes()...)
	r.unsent = r.unsent[max(0, len(r.unsent)-maxPrefixes):]
	unsent := r.unsent
	r.mutex.Unlock()
	err := errNoCollector
	if ring == nil {
		return "", News{}, err
	}
	for _, address := range ring.Candidates(r.options.Zone, time.Now()) {
		var answered *wirepb.LoadNews
		answered, err = r.exchange(ctx, address, &wirepb.ReportLoads{Loads: encode(own, 1), Prefixes: encodePrefixes(unsent)})
		if err != nil {
			ring.Suspect(address, time.Now())
			continue
		}
		ring.Trust(address)
		r.mutex.Lock()
		r.unsent = r.unsent[min(len(unsent), len(r.unsent)):]
		r.mutex.Unlock()
		news, sensible := newsOf(answered)
		if !sensible {
			r.options.Observer.LoadsDropped(address)
			return address, News{}, errors.Newf("the news of %s makes no sense", address)
		}
		return address, news, nil
	}
	return "", News{}, err
}

// exchange sends one report, to this node's own collector without the network.
func (r *Reporter) exchange(ctx context.Context, address string, sent *wirepb.ReportLoads) (*wirepb.LoadNews, error) {
	sent.Run = r.options.Run
	r.mutex.Lock()
	who := hearer{address: address, gathered: sent.GetGathered()}
	heard := r.heard[who]
	r.mutex.Unlock()
	sent.HeardFrom, sent.PrefixesHeard = heard.run, heard.number
	answered, err := r.send(ctx, address, sent)
	if err != nil {
		return nil, err
	}
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.heard[who] = hearing{run: answered.GetRun(), number: answered.GetPrefixesHeard()}
	return answered, nil
}

func (r *Reporter) send(ctx context.Context, address string, sent *wirepb.ReportLoads) (*wirepb.LoadNews, error) {
	if address == r.options.Address {
		answered, sensible := r.options.Collector.take(sent)
		if !sensible {
			return nil, errors.New("this node's own report was dropped")
		}
		return answered, nil
	}
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	reply, err := r.options.Asker.Do(ctx, address, &wirepb.Request{
		From: r.options.Node,
		Body: &wirepb.Request_ReportLoads{ReportLoads: sent},
	}, nil)
	if err != nil {
		return nil, err
	}
	if code := api.Code(reply.GetCode()); code != api.OK {
		return nil, errors.Newf("%s: %s", address, reply.GetDetail())
	}
	answered := &wirepb.LoadNews{}
	if err := proto.Unmarshal(reply.GetBody(), answered); err != nil {
		return nil, errors.Wrapf(err, "news of %s", address)
	}
	return answered, nil
}

// share exchanges this zone's sums with one node that gathers for each other zone, if
// nodes report here, and with the next one of this zone: that may gather for those who
// take another for dead. It reports whether nodes report here.
func (r *Reporter) share(ctx context.Context) bool {
	if !r.options.Collector.Gathers() {
		return false
	}
	var exchanges sync.WaitGroup
	defer exchanges.Wait()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for zone, ring := range r.zones {
		for _, address := range ring.Candidates(zone, time.Now()) {
			if address == r.options.Address {
				continue
			}
			exchanges.Go(func() { r.shareWith(ctx, ring, address) })
			break
		}
	}
	return true
}

// shareWith exchanges sums with one node.
func (r *Reporter) shareWith(ctx context.Context, ring *rendezvous.Ring, address string) {
	r.mutex.Lock()
	told := r.told[address]
	r.mutex.Unlock()
	counts, nodes, prefixes, last := r.options.Collector.gathered(told.number)
	answered, err := r.exchange(ctx, address, &wirepb.ReportLoads{
		Gathered: true,
		Loads:    encode(counts, nodes),
		Prefixes: encodePrefixes(prefixes),
	})
	if err != nil {
		ring.Suspect(address, time.Now())
		return
	}
	ring.Trust(address)
	r.options.Collector.hear(answered)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if told.run != 0 && told.run != answered.GetRun() {
		last = 0 // it has started anew
	}
	r.told[address] = hearing{run: answered.GetRun(), number: last}
}

// newsOf decodes news. It reports false if it makes no sense.
func newsOf(answered *wirepb.LoadNews) (News, bool) {
	counts, nodes, sensible := decode(answered.GetLoads())
	return News{
		Others:   counts,
		Nodes:    nodes,
		Prefixes: decodePrefixes(answered.GetPrefixes()),
		Pause:    time.Duration(min(answered.GetPauseMillis(), maxPauseMillis)) * time.Millisecond,
	}, sensible
}
