package commitgroup

import "time"

// Settings of writes to parts that may not respond.
const (
	// unresponsiveThreshold is how many groups in a row a part leaves unanswered, while others are answered,
	// before it counts as unresponsive. A single one may be a lost response.
	unresponsiveThreshold = 2
	// firstProbeDelay is the time until an unresponsive part is first written to again; the delay doubles with
	// each write that the part does not answer, up to maxProbeDelay.
	firstProbeDelay = 100 * time.Millisecond
	maxProbeDelay   = 400 * time.Millisecond
)

// unresponsiveParts holds the parts that leave groups of their own unanswered, and when each is written to next.
// It does no I/O and has no clock. It is not safe for concurrent use.
//
// An unresponsive part delays only its own transactions. Once one of the unresponsive parts answers, the others
// are due at once, since parts usually recover together.
type unresponsiveParts map[string]*unresponsivePart

// unresponsivePart is the state of one part.
type unresponsivePart struct {
	misses     int       // groups in a row that it left unanswered
	probeAt    time.Time // when it may next be written to; zero until it is unresponsive
	probeDelay time.Duration
}

// recordMissed records that a part left a group unanswered.
func (u unresponsiveParts) recordMissed(part string, now time.Time) {
	state := u[part]
	if state == nil {
		state = &unresponsivePart{probeDelay: firstProbeDelay}
		u[part] = state
	}
	state.misses++
	if state.misses == unresponsiveThreshold {
		state.probeAt = now.Add(state.probeDelay)
	}
}

// hasMissed reports whether a part left its last group unanswered. Groups of other parts do not wait for it.
func (u unresponsiveParts) hasMissed(part string) bool { return u[part] != nil }

// isUnresponsive reports whether a part is unresponsive.
func (u unresponsiveParts) isUnresponsive(part string) bool {
	state := u[part]
	return state != nil && state.misses >= unresponsiveThreshold
}

// mayWrite reports whether a group may be sent to a part now.
func (u unresponsiveParts) mayWrite(part string, now time.Time) bool {
	return !u.isUnresponsive(part) || !now.Before(u[part].probeAt)
}

// recordSent records that a group was sent to a part, and delays the next one if the part is unresponsive.
func (u unresponsiveParts) recordSent(part string, now time.Time) {
	if !u.isUnresponsive(part) {
		return
	}
	state := u[part]
	state.probeDelay = min(maxProbeDelay, 2*state.probeDelay)
	state.probeAt = now.Add(state.probeDelay)
}

// recordAnswered records a response from a part.
func (u unresponsiveParts) recordAnswered(part string) {
	wasUnresponsive := u.isUnresponsive(part)
	delete(u, part)
	if !wasUnresponsive {
		return
	}
	for _, other := range u {
		other.probeAt, other.probeDelay = time.Time{}, firstProbeDelay
	}
}

// nextProbe returns the earliest time at which one of the given parts that is unresponsive may be written to; ok
// is false if none of them is.
func (u unresponsiveParts) nextProbe(parts func(yield func(string) bool)) (next time.Time, ok bool) {
	for part := range parts {
		if u.isUnresponsive(part) && (!ok || u[part].probeAt.Before(next)) {
			next, ok = u[part].probeAt, true
		}
	}
	return next, ok
}
