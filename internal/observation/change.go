package observation

import "time"

// Thresholds of a material change.
const (
	// runningShare is the share of an engine's batch size by which the number
	// of running calls must differ.
	runningShare = 1.0 / 8
	// waitingShare is the share of the waiting calls by which their number
	// must differ, unless it changes from or to zero.
	waitingShare   = 1.0 / 4
	minDifference  = 2 // calls
	fillDifference = 4 // 1/64 of the cache each

	// RefreshAfter is the time after which a digest is sent again although nothing changed.
	RefreshAfter = 4 * time.Second
	// detailsEvery is the number of refreshes after which one includes the details,
	// for a receiver that missed them.
	detailsEvery = 8
)

// differsMaterially reports whether a report differs materially from the one sent last.
func differsMaterially(sent, next Report) bool {
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
	return differs(before.Running, after.Running, runningShare*float64(after.MaxRunning)) ||
		differs(before.Waiting, after.Waiting, waitingShare*float64(before.Waiting)) ||
		differs(int(cacheFill(before)), int(cacheFill(after)), fillDifference)
}

// differs reports whether two numbers differ by at least the threshold, and by at
// least minDifference.
func differs(before, after int, threshold float64) bool {
	distance := before - after
	if distance < 0 {
		distance = -distance
	}
	return float64(distance) >= max(minDifference, threshold)
}
