package zonefeed

import (
	"testing"
	"time"
)

// largerRowBytes is the size of a configuration that has grown several times. Three watchers that read it over the link
// between two regions at the same moment receive it for longer than their data stays confirmed.
const largerRowBytes = 4 * largeRowBytes

// TestWatcherReceivingALargeAnswerKeepsItsFollowers guards against a link that fills with one row per process: a watcher
// that was still receiving a large row declined its followers after 0.7 s, and each of them read the row from the service.
func TestWatcherReceivingALargeAnswerKeepsItsFollowers(t *testing.T) {
	const zones = 3
	runFarRegion(t, zones, func(f *fleet, link *bandwidth) {
		f.store.set(func(s *store) { s.padding = largerRowBytes })
		for range 10 {
			time.Sleep(70 * time.Millisecond) // start at another point of the watchers' calls each time
			before := link.bytes
			f.expect(f.change(), 4*time.Second) // the operators' bound from the acknowledgement
			time.Sleep(5 * time.Second)
			if reads := float64(link.bytes-before) / (largerRowBytes * textPerByte); reads > zones+0.01 {
				t.Errorf("%d zones read the row %.2f times over the link, want once each", zones, reads)
			}
		}
	})
}

// TestWatcherWithASlowCallKeepsItsFollowers guards against followers that leave their watcher while its call to the service
// is still in time: small answers behind a large one on a link between regions arrive some 0.4 s late.
func TestWatcherWithASlowCallKeepsItsFollowers(t *testing.T) {
	runFleet(t, 4, func(f *fleet) {
		watcher := f.watcher()
		watcher.set(func(n *node) { n.storeDelay = responseTimeout - 50*time.Millisecond })
		for range 10 {
			f.expect(f.change(), 2*time.Second)
			time.Sleep(2 * time.Second)
		}
		if declined := watcher.feed.Stats().Declined; declined > 0 {
			t.Errorf("the watcher declined %d requests while its calls were answered in time", declined)
		}
		if now := f.watcher(); now != watcher {
			t.Errorf("the processes follow %s, want %s", now.address, watcher.address)
		}
	})
}
