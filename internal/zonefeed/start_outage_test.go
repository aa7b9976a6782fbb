package zonefeed

import (
	"testing"
	"time"
)

// forOutages runs a test for outages of many lengths, in which the service refuses each call or answers none.
func forOutages(t *testing.T, test func(t *testing.T, length time.Duration, set func(n *node, isAway bool))) {
	t.Helper()
	const longest, step = 4 * time.Second, 290 * time.Millisecond
	outages := map[string]func(n *node, isAway bool){
		"refusing": func(n *node, isAway bool) { n.storeFails = isAway },
		"silent":   func(n *node, isAway bool) { n.storeUnresponsive = isAway },
	}
	for name, set := range outages {
		for length := step; length <= longest; length += step {
			t.Run(name+" for "+length.String(), func(t *testing.T) { test(t, length, set) })
		}
	}
}

// TestRegionThatStartsDuringAnOutageReadsTheConfigurationOncePerZone starts a region whose processes know their peers
// directoryTime after the outage.
func TestRegionThatStartsDuringAnOutageReadsTheConfigurationOncePerZone(t *testing.T) {
	const zones = 3
	forOutages(t, func(t *testing.T, length time.Duration, set func(n *node, isAway bool)) {
		start := regionStart{directoryTime: length + directoryTime, twoTables: true, prepare: func(_ []string, n *node) { set(n, true) }}
		start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
			time.Sleep(length) // virtual time
			f.setAll(func(n *node) { set(n, false) })
			f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
		})
	})
}

// TestRegionThatLosesTheServiceAtItsStartStartsInTime begins an outage as the processes start, which read their peers' addresses
// before it. Watchers decline their followers in an outage, so that several processes of a zone may watch at its end. The
// bound of the link's use is that of TestLargeTableIsListedOnceAfterASilence.
func TestRegionThatLosesTheServiceAtItsStartStartsInTime(t *testing.T) {
	const zones, maxUseSeconds = 3, 3
	forOutages(t, func(t *testing.T, length time.Duration, set func(n *node, isAway bool)) {
		start := regionStart{directoryTime: directoryTime, twoTables: true, prepare: func(_ []string, n *node) { set(n, true) }}
		start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
			time.Sleep(length) // virtual time
			f.setAll(func(n *node) { set(n, false) })
			f.expectStart(link, largerRowBytes, configurationBound, maxUseSeconds*regionLinkBytes/(largerRowBytes*textPerByte))
		})
	})
}

// TestProcessWithoutDirectoryStartsInTime starts processes that the service answers, and that never know a peer.
func TestProcessWithoutDirectoryStartsInTime(t *testing.T) {
	const bound, never = 2 * time.Second, time.Hour // the bound for a configuration to be in force, on the deployments of the operators
	for _, outage := range []time.Duration{0, time.Second, 3 * time.Second} {
		t.Run("after an outage of "+outage.String(), func(t *testing.T) {
			start := regionStart{directoryTime: never, prepare: func(_ []string, n *node) { n.storeFails = outage > 0 }}
			start.run(t, 1, largeRowBytes/10, func(f *fleet, _ *bandwidth) {
				time.Sleep(outage) // virtual time
				f.setAll(func(n *node) { n.storeFails = false })
				time.Sleep(bound) // virtual time
				for _, n := range f.nodes {
					if n.activeVersion() == 0 {
						t.Errorf("%s has no configuration %s after the service answers it", n.address, bound)
					}
				}
			})
		})
	}
}

// TestRegionThatIsThrottledAtItsStartAsksLess starts a region while the service throttles all calls. Its processes must not be why it
// goes on: each makes no more small calls than attempts to join its peers, whose pauses double up to a second. Afterwards
// they start as after an outage.
func TestRegionThatIsThrottledAtItsStartAsksLess(t *testing.T) {
	const zones, throttled, firstAttempts = 3, 5 * time.Second, 3
	start := regionStart{directoryTime: throttled + directoryTime, twoTables: true, prepare: func(_ []string, n *node) { n.storeThrottles = true }}
	start.run(t, zones, largerRowBytes, func(f *fleet, link *bandwidth) {
		time.Sleep(throttled) // virtual time
		const allowed = firstAttempts + int(throttled/time.Second)
		var calls int
		f.nodes[addressOf(0)].store.set(func(s *store) { calls = s.throttled })
		if calls > allowed*len(f.nodes) {
			t.Errorf("%d processes made %d calls in %s in which the service throttled them, want at most %d each", len(f.nodes), calls, throttled, allowed)
		}
		f.setAll(func(n *node) { n.storeThrottles = false })
		f.expectStart(link, largerRowBytes, configurationBound, zones+0.01)
	})
}
