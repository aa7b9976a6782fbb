package zonefeed

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/progress"
)

// boundInForce is the operators' bound from the acknowledgement of a configuration until all processes use it.
const boundInForce = 4 * time.Second

// TestFollowersLeaveAWatcherThatPausesOften guards against followers that wait for a watcher whose calls are answered
// in time, but whose data never counts as current: its machine pauses it again and again.
func TestFollowersLeaveAWatcherThatPausesOften(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		watcher := f.watcher()
		watcher.set(func(n *node) { n.storeDelay = responseTimeout - 50*time.Millisecond })
		watcher.stopTicks()
		f.loops.Go(func() { // the ticks come too late each time, and calls go on
			for f.ctx.Err() == nil {
				watcher.feed.mutex.Lock()
				watcher.feed.contact.tick(time.Now())
				watcher.feed.mutex.Unlock()
				time.Sleep(pauseThreshold + 50*time.Millisecond) // virtual time
			}
		})
		for range 5 {
			f.expect(f.change(), boundInForce, watcher)
			time.Sleep(time.Second) // virtual time
		}
	})
}

// drip receives an answer of which a part arrives shortly before each time limit. If it stalls, the last part never arrives.
func drip(ctx context.Context, stalls bool) error {
	const parts = 20
	for range parts {
		progress.Report(ctx)
		if !backoff.Wait(ctx, responseTimeout-50*time.Millisecond) { // virtual time
			return ctx.Err()
		}
	}
	if stalls {
		<-ctx.Done()
	}
	return ctx.Err()
}

// TestFollowersLeaveAWatcherWhoseAnswerDrips guards against a zone that keeps an old configuration for as long as its
// watcher alone receives the answer slowly: parts of it arrive, but not the whole within the operators' bound.
func TestFollowersLeaveAWatcherWhoseAnswerDrips(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		runFleet(t, 4, func(f *fleet) {
			watcher := f.watcher()
			watcher.set(func(n *node) { n.receive = func(ctx context.Context) error { return drip(ctx, stalls) } })
			f.expect(f.change(), boundInForce, watcher)
		})
	}
}

// TestShortWaitsDoNotSuspectTheWatcher guards against followers that take their watcher for unresponsive because their own
// call is short: 3.5 s after lost history, and while an entry is deferred, a call ends at the moment at which it is due.
func TestShortWaitsDoNotSuspectTheWatcher(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		for range 5 {
			f.store.set(func(s *store) { s.version++; s.forgotten = s.version })
			time.Sleep(9 * time.Second) // virtual time
		}
		for _, n := range f.nodes {
			for _, line := range n.log {
				if strings.Contains(line, errUnresponsive.Error()) {
					t.Errorf("%s: %s", n.address, line)
				}
			}
		}
	})
}

// TestWatcherListingALargeTableKeepsItsFollowers guards against a link that fills with one table per process: the service
// has truncated its history, and a watcher that reads the large table as a whole declines its followers.
func TestWatcherListingALargeTableKeepsItsFollowers(t *testing.T) {
	for _, padding := range []int{largeRowBytes, largerRowBytes} {
		const zones = 3
		runFarRegion(t, zones, func(f *fleet, link *bandwidth) {
			f.store.set(func(s *store) { s.padding, s.isText = padding, true })
			f.expect(f.change(), boundInForce)
			time.Sleep(5 * time.Second) // virtual time
			before := link.transferred()
			f.store.set(func(s *store) { s.version++; s.forgotten = s.version })
			f.expect(f.store.version, boundInForce)
			time.Sleep(15 * time.Second) // virtual time
			// Each watcher lists the table twice, the second time when reads are no longer stale.
			if reads := float64(link.transferred()-before) / (float64(padding) * textPerByte); reads > 2*zones+0.01 {
				t.Errorf("%d zones read a row of %d bytes %.2f times over the link, want twice each", zones, padding, reads)
			}
		})
	}
}

// TestLargeTableIsListedOnceAfterASilence guards against a link that fills with one table per process: the service answers
// nobody for a second, and then has truncated its history. Followers leave their watchers, and each listed the table itself.
func TestLargeTableIsListedOnceAfterASilence(t *testing.T) {
	const zones = 3
	runFarRegion(t, zones, func(f *fleet, link *bandwidth) {
		f.store.set(func(s *store) { s.padding, s.isText = largerRowBytes, true })
		f.expect(f.change(), boundInForce)
		for range 2 {
			time.Sleep(10*time.Second + 70*time.Millisecond) // virtual time; at another point of the watchers' calls each time
			before := link.transferred()
			f.setAll(func(n *node) { n.storeUnresponsive = true })
			time.Sleep(time.Second) // virtual time
			f.store.set(func(s *store) { s.version++; s.forgotten = s.version })
			f.setAll(func(n *node) { n.storeUnresponsive = false })
			f.expect(f.store.version, boundInForce)
			time.Sleep(10 * time.Second) // virtual time
			// The bound of TestLargeConfigurationReachesAnotherRegion: a process that waits for the link still has the
			// configuration in time.
			if used := float64(link.transferred()-before) / regionLinkBytes; used > 3 {
				t.Errorf("the tables read after a silence used the link for %.1f s, want at most 3 s", used)
			}
		}
	})
}
