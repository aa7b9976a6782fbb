package ingress

import (
	"strconv"

	"github.com/pewtermill/pewtermill/api"
)

// A client may resume the stream of a turn behind an event that it has received through another process. The turn is
// recorded with all its events, and this process has not seen the earlier ones. So the engine makes the whole stream, and
// the client gets the events that it lacks. Engines make the same events again: otherwise a stream could not be resumed at
// another engine at all.

// needsEarlierEvents reports whether the events that the client has received are needed for the turn's record.
func (r *request) needsEarlierEvents() bool { return r.route.Retain && r.call.LastEvent != "" }

// startAfter returns the event behind which the first engine continues; empty for the start of the stream.
func (s *stream) startAfter() string {
	if s.request.needsEarlierEvents() {
		return ""
	}
	return s.request.call.LastEvent
}

// clientLacks reports whether the client has not received an event yet.
func (s *stream) clientLacks(next event) bool {
	if !s.request.needsEarlierEvents() || s.reachedClient {
		return true
	}
	last := s.request.call.LastEvent
	s.reachedClient = next.id == last || isLater(next.id, last)
	return s.reachedClient && next.id != last
}

// isLater reports whether both ids are numbers and the first one is larger.
func isLater(id, than string) bool {
	own, ownError := strconv.ParseInt(id, 10, 64)
	other, otherError := strconv.ParseInt(than, 10, 64)
	return ownError == nil && otherError == nil && own > other
}

// checkReachedClient returns a problem if the stream ended before the event that the client has received last: what the
// client has is not what would be recorded.
func (s *stream) checkReachedClient() *api.Error {
	if !s.request.needsEarlierEvents() || s.reachedClient {
		return nil
	}
	problem := api.Errorf(api.OutcomeUnknown, "the stream ended before event %s, which the client has received", s.request.call.LastEvent)
	problem.Execution = api.Unknown
	return problem
}
