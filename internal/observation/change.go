package observation

import "time"

// Bounds of what counts as a material change.
const (
	// runningShare is the share of an engine's batch by which the running
	// calls must have moved.
	runningShare = 1.0 / 8
	// waitingShare is the share of the waiting calls by which they must have
	// moved, unless they began or ceased to wait.
	waitingShare = 1.0 / 4
	minimumMove  = 2 // calls
	fillMove     = 4 // 1/64 of the cache

	// RefreshAfter is when a digest is sent again although nothing changed.
	RefreshAfter = 4 * time.Second
	// detailsEvery is the number of refreshes after which one has the details,
	// for a receiver that missed them.
	detailsEvery = 8
)

// changed tells whether a report differs materially from the one sent last.
func changed(sent, next Report) bool {
	before, after := sent.Load, next.Load
	switch {
	case sent.Reachable != next.Reachable || before.Leaving != after.Leaving:
		return true
	case !sameDetails(before, after):
		return true
	case next.CacheEvents < sent.CacheEvents: // the engine has restarted
		return true
	case (before.Waiting == 0) != (after.Waiting == 0):
		return true
	}
	return moved(before.Running, after.Running, runningShare*float64(after.MaxRunning)) ||
		moved(before.Waiting, after.Waiting, waitingShare*float64(before.Waiting)) ||
		moved(int(cacheFill(before)), int(cacheFill(after)), fillMove)
}

// moved tells whether a number moved by the threshold or more, which is
// minimumMove at least.
func moved(before, after int, threshold float64) bool {
	distance := before - after
	if distance < 0 {
		distance = -distance
	}
	return float64(distance) >= max(minimumMove, threshold)
}
