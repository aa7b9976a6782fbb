package zonewatch

import "time"

const (
	// maxSilence is how long a zone that may only be late gives no response before it is suspected, and how long zones
	// give none before this node counts as isolated: a response that takes up to half a second arrives in that time,
	// even if the request that it belongs to is a probe, sent responseTimeout after the first unanswered request. It
	// leaves a node enough time to send a first request and to detect its isolation within a second.
	maxSilence = responseTimeout + 500*time.Millisecond

	// Weights of the estimate of response times, those that TCP uses for round trips (RFC 6298).
	meanWeight      = 8 // a new response time counts 1/8 of the mean
	deviationWeight = 4 // its difference from the mean counts 1/4 of the mean deviation
	deviationFactor = 4 // a response is expected within the mean and four deviations
)

// responseTimes estimates how long responses of a zone take.
type responseTimes struct {
	measured  bool
	mean      time.Duration
	deviation time.Duration // mean absolute difference from the mean
}

// add adds the time that one response took.
func (r *responseTimes) add(took time.Duration) {
	if !r.measured {
		r.measured, r.mean, r.deviation = true, took, took/2
		return
	}
	difference := took - r.mean
	r.deviation += (difference.Abs() - r.deviation) / deviationWeight
	r.mean += difference / meanWeight
}

// expectedWithin returns the time in which the response to a request is expected; 0 before the first response.
func (r *responseTimes) expectedWithin() time.Duration { return r.mean + deviationFactor*r.deviation }

// RecordResponseTime records how long the first response of a peer to a request took.
func (d *Detector) RecordResponseTime(name string, took time.Duration) {
	d.zoneOf(name).responseTimes.add(took)
}

// requiredSilence returns how long a zone has to give no response before it is suspected; first is when the first
// unanswered request was sent. It protects a zone whose responses are late but arrive: its probes have to be overdue
// by its own response times. Where other zones are silent at the same time nothing distinguishes a loss from a queue
// on a link to all of them, until late responses would have arrived.
func (d *Detector) requiredSilence(name string, z *zone, first, now time.Time) time.Duration {
	if d.silenceIsShared(name, z, first, now) {
		return maxSilence
	}
	return min(max(minSilence, responseTimeout+z.responseTimes.expectedWithin()), maxSilence)
}

// silenceIsShared reports whether another zone has given no response since a zone's first unanswered request, or
// since it was last probed, so that both may be behind the same queue. The node's own zone is on no link between zones,
// and zones that are already suspected say nothing about one that falls silent now.
func (d *Detector) silenceIsShared(name string, z *zone, first, now time.Time) bool {
	for otherName, other := range d.zones {
		if otherName == name || otherName == d.ownZone || !other.hasPeers() || !other.suspectedSince.IsZero() {
			continue
		}
		if other.silentSince(first) && !other.silentBefore(z, first, now) {
			return true
		}
	}
	return false
}

// silentSince reports whether a zone has given no response since first, or since it was last probed.
func (z *zone) silentSince(first time.Time) bool {
	return !z.lastResponse.After(first) || !z.lastResponse.After(z.probedAt) || !z.lastResponse.After(z.referenceProbedAt)
}

// silentBefore reports whether a zone that is silent was so before another one, whose first unanswered request was sent
// at first, fell silent. One queue does not explain both then: no response waits in it for longer than maxSilence, and a
// single process that never responded, while the other zone did, may not be running. That one is never suspected itself.
func (z *zone) silentBefore(other *zone, first, now time.Time) bool {
	if z.lastResponse.IsZero() && !other.lastResponse.IsZero() && z.countPeers() < minUnresponsive {
		return true
	}
	unanswered, found := z.firstUnanswered(now)
	return found && first.Sub(unanswered) >= maxSilence
}

// firstUnanswered returns when the first of the requests was sent that nobody of a zone has responded after, and
// whether there are any.
func (z *zone) firstUnanswered(now time.Time) (first time.Time, found bool) {
	for _, src := range z.sources {
		if z.isUnanswered(src, now) && (!found || src.unansweredSince.Before(first)) {
			first, found = src.unansweredSince, true
		}
	}
	return first, found
}

// isUnanswered reports whether a source has not responded to a recent request, and nobody of its zone has since.
func (z *zone) isUnanswered(src *source, now time.Time) bool {
	return src.unansweredSince.After(z.lastResponse) && now.Sub(src.timedOutAt) <= evidenceLifetime
}

func (z *zone) countPeers() int {
	count := 0
	for _, src := range z.sources {
		if src.peer {
			count++
		}
	}
	return count
}
