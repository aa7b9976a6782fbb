package zonefeed

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// Parameters of the incident that TestLargeConfigurationReachesAnotherRegion reproduces.
const (
	regionLinkBytes  = 60e6 / 8 // per second, between two regions, for all processes of both
	machineLinkBytes = 30e6 / 8 // per second, of the slowest machines
	largeRowBytes    = 205_000  // of a configuration with 1,400 routes
	textPerByte      = 4.0 / 3  // the service encodes values in base64
	chunkBytes       = 8 << 10
)

// bandwidth is a link that several transfers share, one chunk of each in turn.
type bandwidth struct {
	bytesPerSecond float64

	mutex  sync.Mutex
	freeAt time.Time
	bytes  int // transferred
}

// transferred returns how many bytes the link has transferred.
func (b *bandwidth) transferred() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.bytes
}

// carry transfers bytes over the link, unless the context ends first. It calls onChunk for each chunk.
func (b *bandwidth) carry(ctx context.Context, bytes int, onChunk func()) error {
	for ; bytes > 0; bytes -= chunkBytes {
		chunk := min(bytes, chunkBytes)
		b.mutex.Lock()
		if now := time.Now(); b.freeAt.Before(now) {
			b.freeAt = now
		}
		b.freeAt = b.freeAt.Add(time.Duration(float64(chunk) / b.bytesPerSecond * float64(time.Second)))
		b.bytes += chunk
		due := time.NewTimer(time.Until(b.freeAt))
		b.mutex.Unlock()
		select {
		case <-due.C:
			onChunk()
		case <-ctx.Done():
			due.Stop()
			return ctx.Err()
		}
	}
	return nil
}

// farFeed is a process's feed from the service over the link between two regions.
type farFeed struct {
	*node
	link *bandwidth
}

// transfer transfers an answer's rows over the link.
func (f farFeed) transfer(ctx context.Context, rows []tablestore.Change) error {
	bytes := 0
	for _, row := range rows {
		bytes += int(float64(len(row.Value)) * textPerByte)
	}
	if err := f.link.carry(ctx, bytes, func() { progress.Report(ctx) }); err != nil {
		return errors.Mark(err, tablestore.ErrUnknownOutcome)
	}
	return nil
}

// Snapshot implements tablestore.Feed.
func (f farFeed) Snapshot(ctx context.Context, table string) ([]tablestore.Change, uint64, error) {
	rows, version, err := f.node.Snapshot(ctx, table)
	if err == nil {
		err = f.transfer(ctx, rows)
	}
	return rows, version, err
}

// Changes implements tablestore.Feed.
func (f farFeed) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	rows, version, err := f.node.Changes(ctx, table, after, wait)
	if err == nil {
		err = f.transfer(ctx, rows)
	}
	return rows, version, err
}

// runFarRegion runs a test in virtual time with a region of several zones of eleven processes each, all of
// which reach the service over one link.
func runFarRegion(t *testing.T, zones int, test func(f *fleet, link *bandwidth)) {
	t.Helper()
	const size = 11
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := &bandwidth{bytesPerSecond: regionLinkBytes}
		f := &fleet{t: t, ctx: ctx, store: &store{version: 10}, nodes: make(map[string]*node)}
		addresses := make([][]string, zones)
		for i := range zones * size {
			n := &node{address: addressOf(i), store: f.store, fleet: f, uplink: &bandwidth{bytesPerSecond: machineLinkBytes}}
			n.feed = NewFeed(Options{Feed: farFeed{node: n, link: link}, Node: n.address, RunID: uint64(i + 1), Observer: n})
			n.view = discovery.New(discovery.Options{Source: source{n}, Observer: n})
			f.nodes[n.address] = n
			addresses[i/size] = append(addresses[i/size], n.address)
		}
		for _, n := range f.nodes {
			n.startTicks(ctx)
			f.loops.Go(func() { n.view.Run(ctx, discovery.Configurations) })
		}
		time.Sleep(time.Second)
		for i, zone := range addresses {
			elsewhere := slices.Concat(slices.Delete(slices.Clone(addresses), i, i+1)...)
			for _, address := range zone {
				n := f.nodes[address]
				n.feed.SetPeers(n, address, zone)
				n.feed.SetFallbackPeers(n, Neighbours{Zone: without(zone, address), Region: elsewhere})
			}
		}
		time.Sleep(4 * time.Second)
		test(f, link)
		cancel()
		f.loops.Wait()
	})
}

// without returns a zone's processes except one.
func without(zone []string, address string) []string {
	return slices.DeleteFunc(slices.Clone(zone), func(other string) bool { return other == address })
}

// TestLargeConfigurationReachesAnotherRegion changes a configuration of 1,400 routes, and changes it again a second
// later. In an incident of this kind, 32 processes of the region without the store kept the version before for 20 s
// and more and were not ready, and two of them handled requests with it. The link between the regions, of 60 Mbit/s,
// was full all the while with answers of the store that were aborted before their end and requested again: each
// process had 0.4 s for 273 KB, and all shared the link. It began with a watcher's replies to its zone, which took
// 0.7 s on a link of 30 Mbit/s and which its followers took for no response. The machines' metrics showed that the
// link was full, in the direction into that region only. This test shows that no other fault is needed: nothing fails
// here.
func TestLargeConfigurationReachesAnotherRegion(t *testing.T) {
	runFarRegion(t, 3, func(f *fleet, link *bandwidth) {
		f.store.set(func(s *store) { s.padding = largeRowBytes })
		for range 10 {
			time.Sleep(70 * time.Millisecond) // start at another point of the watchers' calls each time
			before := link.bytes
			f.change()
			time.Sleep(time.Second)
			f.expect(f.change(), 3*time.Second) // the operators' bound is 4 s from the acknowledgement
			time.Sleep(5 * time.Second)
			if used := float64(link.bytes-before) / regionLinkBytes; used > 3 {
				t.Errorf("two changes used the link for %.1f s, want at most 3 s", used)
			}
		}
	})
}
