package zonefeed

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// engineTable is the name of the second table that each process follows; its rows are small.
const engineTable = "engines"

// twoTables is a process's feed from the service: the configuration, and a small second table.
type twoTables struct{ farFeed }

// Snapshot implements tablestore.Feed.
func (f twoTables) Snapshot(ctx context.Context, table string) ([]tablestore.Change, uint64, error) {
	if table != engineTable {
		return f.farFeed.Snapshot(ctx, table)
	}
	if err := f.call(ctx); err != nil {
		return nil, 0, err
	}
	return []tablestore.Change{configRow(1)}, 1, nil
}

// Changes implements tablestore.Feed.
func (f twoTables) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	if table != engineTable {
		return f.farFeed.Changes(ctx, table, after, wait)
	}
	err := f.call(ctx)
	time.Sleep(wait) // virtual time
	return nil, after, err
}

// followEngines lists the second table, as a process does beside the configuration.
func (n *node) followEngines(ctx context.Context) {
	for ctx.Err() == nil {
		listing, cancel := context.WithTimeout(ctx, time.Second)
		_, _, err := n.feed.Snapshot(listing, engineTable)
		cancel()
		if err == nil {
			return
		}
		time.Sleep(50 * time.Millisecond) // virtual time
	}
}

// regionStart describes how all processes of a region start at once.
type regionStart struct {
	prepare       func(zone []string, n *node) // before the start; nil: nothing
	directoryTime time.Duration                // until a process knows its peers
	twoTables     bool
}

// run starts the region, in virtual time; see runRegion.
func (s regionStart) run(t *testing.T, zones, rowBytes int, test func(f *fleet, link *bandwidth)) {
	t.Helper()
	prepare := s.prepare
	if prepare == nil {
		prepare = func([]string, *node) {}
	}
	runRegion(t, zones, rowBytes, prepare, s.startNode, test)
}

func (s regionStart) startNode(n *node, ctx context.Context, zone, elsewhere []string) {
	n.startTicks(ctx)
	n.fleet.loops.Go(func() { n.view.Run(ctx, discovery.Configurations) })
	if s.twoTables {
		n.fleet.loops.Go(func() { n.followEngines(ctx) })
	}
	time.AfterFunc(s.directoryTime, func() {
		n.feed.SetPeers(refusingClient{n}, n.address, zone)
		n.feed.SetFallbackPeers(n, Neighbours{Zone: without(zone, n.address), Region: elsewhere})
	})
}

// refusingClient is a process's client, to which a process that is gone refuses a connection after a round trip. What is
// sent first is refused first.
type refusingClient struct{ *node }

// Do implements peerClient.
func (c refusingClient) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	const roundTrip = time.Millisecond
	if c.fleet.nodes[address].dead {
		backoff.Wait(ctx, roundTrip) // virtual time
		if request.GetFollowTable().GetTable() == engineTable {
			backoff.Wait(ctx, roundTrip/10)
		}
	}
	return c.node.Do(ctx, address, request, onPart)
}

// isAmongFirst reports whether a process is among the first that its zone would choose as its watcher.
func isAmongFirst(zone []string, address string, count int) bool {
	chosen := newChoice()
	chosen.setPeers("", zone)
	for range count {
		first := chosen.assignment(time.Now()).Watcher
		if first == address {
			return true
		}
		chosen.selector.Suspect(first, time.Now())
	}
	return false
}

// TestRegionThatStartsBeforeTheServiceReadsTheConfigurationOncePerZone starts a region while the service refuses all calls,
// as after a loss of power at both. The addresses of the peers are rows of the service, so no process knows them when the
// service is back.
func TestRegionThatStartsBeforeTheServiceReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones, outage = 3, 3 * time.Second
	start := regionStart{directoryTime: outage + directoryTime, prepare: func(_ []string, n *node) { n.storeFails = true }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		time.Sleep(outage)
		f.setAll(func(n *node) { n.storeFails = false })
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestPeersThatAreKnownLateAreNoSilentWatcher lets a process know its peers shortly before it would read the table itself.
// Its watcher must not count as silent for want of time: others would read the table as well.
func TestPeersThatAreKnownLateAreNoSilentWatcher(t *testing.T) {
	const zones = 3
	for _, directoryTime := range []time.Duration{550, 600, 650, 700, 750, 790} {
		directoryTime *= time.Millisecond
		t.Run(directoryTime.String(), func(t *testing.T) {
			regionStart{directoryTime: directoryTime}.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
				f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
				for _, n := range f.nodes {
					if failed := n.feed.Stats().FailedRequests; failed > 0 {
						t.Errorf("%s counts %d requests to watchers as failed, though all answer", n.address, failed)
						break
					}
				}
			})
		})
	}
}

// TestRegionThatStartsWithoutTwoWatchersReadsTheConfigurationOncePerZone starts a region in which the first two choices of
// each zone do not come back, while processes list both of their tables.
func TestRegionThatStartsWithoutTwoWatchersReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones, gone = 3, 2
	start := regionStart{directoryTime: directoryTime, twoTables: true, prepare: func(zone []string, n *node) { n.dead = isAmongFirst(zone, n.address, gone) }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestRegionThatStartsWithoutThreeWatchersReadsTheConfigurationOncePerZone does so where three of eight candidates are gone,
// as when a third of the machines of a region does not come back.
func TestRegionThatStartsWithoutThreeWatchersReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones, gone = 3, 3
	start := regionStart{directoryTime: directoryTime, prepare: func(zone []string, n *node) { n.dead = isAmongFirst(zone, n.address, gone) }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestWatcherWhoseFirstListFailsKeepsItsFollowers lets the first two calls of each zone's first choice fail, as those that are
// throttled do. It reads the table 150 ms later, so that no other process needs to.
func TestWatcherWhoseFirstListFailsKeepsItsFollowers(t *testing.T) {
	const zones = 3
	start := regionStart{directoryTime: directoryTime, prepare: func(zone []string, n *node) { n.storeFails = isFirstChoice(zone, n.address) }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		time.Sleep(directoryTime + 60*time.Millisecond) // virtual time
		f.setAll(func(n *node) { n.storeFails = false })
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}

// TestProcessThatReachesNoPeerStartsInTime starts one process that reaches the service and none of its peers, none of
// which refuses a connection.
func TestProcessThatReachesNoPeerStartsInTime(t *testing.T) {
	const bound = 2 * time.Second // for a configuration to be in force, on the deployments of the operators
	start := regionStart{directoryTime: directoryTime, prepare: func(zone []string, n *node) { n.isolated = n.address == zone[len(zone)-1] }}
	start.run(t, 1, largeRowBytes, func(f *fleet, _ *bandwidth) {
		time.Sleep(bound)
		for _, n := range f.nodes {
			if n.isolated && n.activeVersion() == 0 {
				t.Errorf("%s has no configuration %s after its start, though the service answers it", n.address, bound)
			}
		}
	})
}

// TestWatcherThatIsAskedLateIsNoSilentWatcher starts a region in which the service does not answer the first choice of each
// zone. Those that it held for a second ask the next one in what is left of their time, which must not count as its silence.
func TestWatcherThatIsAskedLateIsNoSilentWatcher(t *testing.T) {
	const zones = 3
	start := regionStart{directoryTime: directoryTime, prepare: func(zone []string, n *node) { n.storeUnresponsive = isFirstChoice(zone, n.address) }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		time.Sleep(configurationBound) // virtual time
		if reads := float64(link.transferred()) / (float64(largerRowBytes) * textPerByte); reads > zones+0.01 {
			t.Errorf("the link between the regions carried the row %.1f times, want at most %d", reads, zones)
		}
	})
}

// TestRegionThatStartsBesideWatchersThatTheServiceIgnoresReadsTheConfigurationOncePerZone does so while processes list both
// of their tables: what they held for two requests of one watcher must not count as two watchers that failed.
func TestRegionThatStartsBesideWatchersThatTheServiceIgnoresReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones = 3
	start := regionStart{directoryTime: directoryTime, twoTables: true, prepare: func(zone []string, n *node) { n.storeUnresponsive = isFirstChoice(zone, n.address) }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		time.Sleep(configurationBound) // virtual time
		waiting := 0
		for _, n := range f.nodes {
			if !n.storeUnresponsive && n.activeVersion() == 0 {
				waiting++
			}
		}
		if waiting > 0 {
			t.Errorf("%d processes that the service answers have no configuration %s after their start", waiting, configurationBound)
		}
		if reads := float64(link.transferred()) / (float64(largerRowBytes) * textPerByte); reads > zones+0.01 {
			t.Errorf("the link between the regions carried the row %.1f times, want at most %d", reads, zones)
		}
	})
}

// TestRegionThatStartsBesideThreeSilentWatchersStartsInTime starts a region in which three of eight candidates of each zone
// reach the service and no peer.
func TestRegionThatStartsBesideThreeSilentWatchersStartsInTime(t *testing.T) {
	const zones, silent = 3, 3
	start := regionStart{directoryTime: directoryTime, twoTables: true, prepare: func(zone []string, n *node) { n.isolated = isAmongFirst(zone, n.address, silent) }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		// A silent process reads the table for itself.
		f.expectStart(link, largerRowBytes, configurationBound, zones*(1+silent)+0.01)
	})
}

// TestLostHistoryBesideThreeSilentWatchersIsMadeUpForInTime cuts three of a zone's candidates off from their peers as the
// service forgets its history.
func TestLostHistoryBesideThreeSilentWatchersIsMadeUpForInTime(t *testing.T) {
	const silent = 3
	const bound = 2 * time.Second // for a configuration to be in force, on the deployments of the operators
	runFleet(t, 11, func(f *fleet) {
		var zone []string
		for address := range f.nodes {
			zone = append(zone, address)
		}
		for address, n := range f.nodes {
			if isAmongFirst(zone, address, silent) {
				n.set(func(n *node) { n.isolated = true })
			}
		}
		version := f.change()
		f.store.set(func(s *store) { s.forgotten = version })
		f.expect(version, bound)
	})
}
