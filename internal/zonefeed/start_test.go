package zonefeed

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// directoryTime is how long a process in another region takes from its start until it knows its peers: it registers itself
// in the service and reads the addresses of each zone.
const directoryTime = 250 * time.Millisecond

// configurationBound is the operators' bound for a configuration to be in force.
const configurationBound = 4 * time.Second

// startFarRegion starts all processes of a region at once, in virtual time, after they had run before: their addresses are
// in the directory. Those for which isDown reports true do not come back.
func startFarRegion(t *testing.T, zones, rowBytes int, isDown func(zone []string, address string) bool, test func(f *fleet, link *bandwidth)) {
	t.Helper()
	prepare := func(zone []string, n *node) { n.dead = isDown(zone, n.address) }
	runRegion(t, zones, rowBytes, prepare, (*node).start, test)
}

// runRegion makes the processes of a region behind one link, in virtual time, prepares each, and starts those that are not
// dead, with the addresses of their own zone and of the other ones.
func runRegion(t *testing.T, zones, rowBytes int, prepare func(zone []string, n *node), start func(n *node, ctx context.Context, zone, elsewhere []string), test func(f *fleet, link *bandwidth)) {
	t.Helper()
	const size = 11
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &bandwidth{bytesPerSecond: regionLinkBytes}
		f := &fleet{t: t, ctx: ctx, store: &store{version: 10, padding: rowBytes, isText: true}, nodes: make(map[string]*node)}
		addresses := make([][]string, zones)
		for i := range zones * size {
			addresses[i/size] = append(addresses[i/size], addressOf(i))
		}
		for i, zone := range addresses {
			for j, address := range zone {
				n := &node{address: address, store: f.store, fleet: f, uplink: &bandwidth{bytesPerSecond: machineLinkBytes}}
				n.feed = NewFeed(Options{Feed: twoTables{farFeed{node: n, link: link}}, Node: address, RunID: uint64(i*size + j + 1), Observer: n})
				n.view = discovery.New(discovery.Options{Source: source{n}, Observer: n})
				prepare(zone, n)
				f.nodes[address] = n
			}
		}
		for i, zone := range addresses {
			elsewhere := slices.Concat(slices.Delete(slices.Clone(addresses), i, i+1)...)
			for _, address := range zone {
				if n := f.nodes[address]; !n.dead {
					start(n, ctx, zone, elsewhere)
				}
			}
		}
		test(f, link)
		cancel()
		f.loops.Wait()
	})
}

// isFirstChoice reports whether a process is the one that its zone would choose first as its watcher.
func isFirstChoice(zone []string, address string) bool {
	chosen := newChoice()
	chosen.setPeers("", zone)
	return chosen.assignment(time.Now()).Watcher == address
}

// start starts a process, which knows its peers after directoryTime.
func (n *node) start(ctx context.Context, zone, elsewhere []string) {
	n.startAndJoin(ctx, zone, elsewhere, directoryTime)
}

// startAndJoin starts a process, which knows its peers after a delay.
func (n *node) startAndJoin(ctx context.Context, zone, elsewhere []string, delay time.Duration) {
	n.startTicks(ctx)
	n.fleet.loops.Go(func() { n.view.Run(ctx, discovery.Configurations) })
	time.AfterFunc(delay, func() {
		n.feed.SetPeers(n, n.address, zone)
		n.feed.SetFallbackPeers(n, Neighbours{Zone: without(zone, n.address), Region: elsewhere})
	})
}

// expectStart fails the test unless all processes that run use the configuration within a time, and the link has carried
// the row no more often than maxReads.
func (f *fleet) expectStart(link *bandwidth, rowBytes int, within time.Duration, maxReads float64) {
	f.t.Helper()
	time.Sleep(within)
	waiting := 0
	for _, n := range f.nodes {
		if !n.dead && !n.isIsolated() && n.activeVersion() == 0 {
			waiting++
		}
	}
	if waiting > 0 {
		f.t.Errorf("%d processes have no configuration %s after their start", waiting, within)
	}
	if reads := float64(link.transferred()) / (float64(rowBytes) * textPerByte); reads > maxReads {
		f.t.Errorf("the link between the regions carried the row %.1f times, want at most %.0f", reads, maxReads)
	}
}

// TestRegionThatStartsReadsTheConfigurationOncePerZone guards against a region that is not ready for ten seconds after all
// its processes were started at once: each of them read a large configuration over the link between the regions, before
// it knew a process of its zone that could send it. Calls and connections that the link delayed were given up and made again.
func TestRegionThatStartsReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones = 3
	none := func([]string, string) bool { return false }
	startFarRegion(t, zones, largerRowBytes, none, func(f *fleet, link *bandwidth) {
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestRegionThatStartsWithoutItsWatchersReadsTheConfigurationOncePerZone does so while the process that each zone would
// choose first does not come back: those that asked it must not all read the configuration themselves.
func TestRegionThatStartsWithoutItsWatchersReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones = 3
	startFarRegion(t, zones, largerRowBytes, isFirstChoice, func(f *fleet, link *bandwidth) {
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestRegionThatStartsBesideSilentWatchersReadsTheConfigurationOncePerZone does so while that process is frozen or cut off:
// those that asked it have waited for it when they go on, and have little time left.
func TestRegionThatStartsBesideSilentWatchersReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones = 3
	startFarRegion(t, zones, largerRowBytes, isFirstChoice, func(f *fleet, link *bandwidth) {
		for _, n := range f.nodes {
			n.set(func(n *node) { n.isolated, n.dead = n.dead, false })
		}
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestRegionThatStartsReadsAGrownConfigurationOncePerZone does so with a configuration of which each zone's watcher has to
// send 2 MB to the others.
func TestRegionThatStartsReadsAGrownConfigurationOncePerZone(t *testing.T) {
	const zones, rowBytes = 3, 2 * largerRowBytes
	none := func([]string, string) bool { return false }
	startFarRegion(t, zones, rowBytes, none, func(f *fleet, link *bandwidth) {
		f.expectStart(link, rowBytes, configurationBound, zones+0.01)
	})
}

// TestWatcherThatKnowsItsPeersLastSendsTheConfiguration guards against a zone that has no configuration for a second after
// all processes were started at once: the process that the others follow was asked before it knew its peers, counted as
// watching for itself only, and waited for the next change with an answer that would have confirmed its data to the others.
func TestWatcherThatKnowsItsPeersLastSendsTheConfiguration(t *testing.T) {
	const (
		zones         = 3
		smallRowBytes = 10_000 // arrives before the watcher knows its peers
		late          = 50 * time.Millisecond
		spare         = 200 * time.Millisecond // to read the configuration and to send it to the zone
	)
	start := func(n *node, ctx context.Context, zone, elsewhere []string) {
		delay := directoryTime
		if isFirstChoice(zone, n.address) {
			delay += late
		}
		n.startAndJoin(ctx, zone, elsewhere, delay)
	}
	runRegion(t, zones, smallRowBytes, func([]string, *node) {}, start, func(f *fleet, link *bandwidth) {
		f.expectStart(link, smallRowBytes, directoryTime+late+spare, zones+0.01)
	})
}
