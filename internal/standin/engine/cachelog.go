package engine

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

const (
	// eventLogSize is the minimum number of cache events that are retained for readers.
	eventLogSize = 1 << 13
	// seenSetSize is the capacity of each half of a seenSet, in blocks.
	seenSetSize = 1 << 20
)

// eventLog retains the newest cache events.
type eventLog struct {
	sequence uint64 // of the newest event
	events   []loggedEvent
}

type loggedEvent struct {
	event backend.CacheEvent
	at    time.Time
}

func newEventLog(firstSequence uint64) *eventLog { return &eventLog{sequence: firstSequence} }

func (l *eventLog) append(hash uint64, stored bool, now time.Time) {
	l.sequence++
	event := backend.CacheEvent{Sequence: l.sequence, Block: hash, Stored: stored}
	if len(l.events) >= 2*eventLogSize {
		l.events = append(l.events[:0], l.events[eventLogSize:]...)
	}
	l.events = append(l.events, loggedEvent{event: event, at: now})
}

// page returns the events after a sequence number up to a point in time. If
// after is 0, newer than the newest event, or older than the retained events,
// it returns a snapshot of the current cache.
func (l *eventLog) page(after uint64, until time.Time, snapshot func() []string) backend.CacheEvents {
	kept := uint64(len(l.events))
	if after == 0 || after > l.sequence || l.sequence-after > kept {
		return backend.CacheEvents{Snapshot: true, Blocks: snapshot(), Sequence: l.sequence}
	}
	page := backend.CacheEvents{Sequence: after}
	for _, logged := range l.events[kept-(l.sequence-after):] {
		if logged.at.After(until) {
			break
		}
		page.Events = append(page.Events, logged.event)
		page.Sequence = logged.event.Sequence
	}
	return page
}

// seenSet records blocks in two generations of bounded size: when the newer
// is full, the older is dropped.
type seenSet struct {
	newer map[uint64]struct{}
	older map[uint64]struct{}
}

func newSeenSet() *seenSet { return &seenSet{newer: map[uint64]struct{}{}} }

func (s *seenSet) add(hash uint64) {
	if len(s.newer) >= seenSetSize {
		s.older = s.newer
		s.newer = map[uint64]struct{}{}
	}
	s.newer[hash] = struct{}{}
}

func (s *seenSet) has(hash uint64) bool {
	if _, found := s.newer[hash]; found {
		return true
	}
	_, found := s.older[hash]
	return found
}
