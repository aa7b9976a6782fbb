package explain

import (
	"sync"
	"sync/atomic"
)

// subscriberBuffer is how many records a subscriber may lag behind before
// records are dropped for it.
const subscriberBuffer = 256

// Log keeps the newest decisions of one node in memory and passes each one
// to subscribers. Safe for concurrent use; Record never waits for a reader.
type Log struct {
	node    string
	dropped atomic.Uint64

	mutex       sync.Mutex
	nextID      uint64
	ring        []Decision // ring[id % capacity] holds decision id
	subscribers map[*subscriber]struct{}
}

// subscriber is one reader of the stream.
type subscriber struct {
	filter  func(Decision) bool
	records chan Decision
}

// NewLog returns an empty log that keeps the newest capacity decisions
// (at least one).
func NewLog(node string, capacity int) *Log {
	return &Log{
		node:        node,
		nextID:      1,
		ring:        make([]Decision, max(1, capacity)),
		subscribers: make(map[*subscriber]struct{}),
	}
}

// Record gives the decision the next ID and this node's name, keeps it, and
// offers it to every subscriber whose filter accepts it.
func (l *Log) Record(decision Decision) {
	decision.Node = l.node
	l.mutex.Lock()
	defer l.mutex.Unlock()
	decision.ID = l.nextID
	l.nextID++
	l.ring[decision.ID%uint64(len(l.ring))] = decision
	for reader := range l.subscribers {
		l.offer(reader, decision)
	}
}

// offer sends a record to one reader, or counts it as dropped if the reader's
// buffer is full.
func (l *Log) offer(reader *subscriber, decision Decision) {
	if reader.filter != nil && !reader.filter(decision) {
		return
	}
	select {
	case reader.records <- decision:
	default:
		l.dropped.Add(1)
	}
}

// Recent returns the newest kept decisions, oldest first. An empty program
// matches every program, sequence 0 every call, and limit 0 sets no limit.
func (l *Log) Recent(program string, sequence int64, limit int) []Decision {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var matches []Decision
	for id := l.nextID - 1; id >= l.oldest(); id-- {
		decision := &l.ring[id%uint64(len(l.ring))]
		if program != "" && decision.Program != program {
			continue
		}
		if sequence != 0 && decision.Sequence != sequence {
			continue
		}
		matches = append(matches, *decision)
		if limit > 0 && len(matches) == limit {
			break
		}
	}
	for low, high := 0, len(matches)-1; low < high; low, high = low+1, high-1 {
		matches[low], matches[high] = matches[high], matches[low]
	}
	return matches
}

// oldest returns the lowest ID that the ring still holds, at least 1.
func (l *Log) oldest() uint64 {
	capacity := uint64(len(l.ring))
	if l.nextID <= capacity {
		return 1
	}
	return l.nextID - capacity
}

// Subscribe returns a channel of the decisions recorded from now on that the
// filter accepts (nil accepts all), and a function that ends the subscription
// and closes the channel. The filter runs inside Record, so it must be fast
// and must not call the log. Records are dropped for a reader that falls
// behind; Dropped counts them.
func (l *Log) Subscribe(filter func(Decision) bool) (<-chan Decision, func()) {
	reader := &subscriber{filter: filter, records: make(chan Decision, subscriberBuffer)}
	l.mutex.Lock()
	l.subscribers[reader] = struct{}{}
	l.mutex.Unlock()
	cancel := func() {
		l.mutex.Lock()
		defer l.mutex.Unlock()
		if _, subscribed := l.subscribers[reader]; subscribed {
			delete(l.subscribers, reader)
			close(reader.records)
		}
	}
	return reader.records, cancel
}

// Dropped returns how many records were dropped for slow subscribers.
func (l *Log) Dropped() uint64 { return l.dropped.Load() }
