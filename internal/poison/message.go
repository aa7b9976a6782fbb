package poison

import (
	"maps"
	"slices"
	"strings"
	"time"
	"unicode/utf8"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxTryBytes limits the length of a client's ID for a try as it is stored and sent.
const maxTryBytes = 64

// truncateTry returns a client's ID for a try as it is stored and sent: valid UTF-8, which messages and rows require, cut between two
// characters.
func truncateTry(try string) string {
	try = strings.ToValidUTF8(try, string(utf8.RuneError))
	if len(try) <= maxTryBytes {
		return try
	}
	end := maxTryBytes
	for !utf8.RuneStart(try[end]) {
		end--
	}
	return try[:end]
}

// changesAfter returns the changes of this node after a sequence number, as sent to peers, and the sequence number of
// the last one. It returns those of at most limit requests, the earliest changes first.
func (m *Memory) changesAfter(sequence uint64, limit int, now time.Time) ([]*wirepb.RequestEnds, uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	type change struct {
		key    Key
		record *suspect
		last   uint64 // sequence number of the request's last change
	}
	var changes []change
	for key, record := range m.suspects {
		last := uint64(0)
		for _, end := range record.ends {
			last = max(last, end.sequence)
		}
		if last > sequence {
			changes = append(changes, change{key: key, record: record, last: last})
		}
	}
	slices.SortFunc(changes, func(a, b change) int { return int(a.last) - int(b.last) })
	upTo := m.sequence
	if len(changes) > limit {
		changes = changes[:limit]
		upTo = changes[limit-1].last
	}
	messages := make([]*wirepb.RequestEnds, 0, len(changes))
	for _, changed := range changes {
		messages = append(messages, toMessage(changed.key, changed.record.ends, now))
	}
	return messages, upTo
}

// all returns all ends, as sent to a peer that asks, of at most limit requests: those with the most engines.
func (m *Memory) all(limit int, now time.Time) []*wirepb.RequestEnds {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	keys := slices.SortedFunc(maps.Keys(m.suspects), func(a, b Key) int { return m.suspects[b].ended - m.suspects[a].ended })
	messages := make([]*wirepb.RequestEnds, 0, min(limit, len(keys)))
	for _, key := range keys[:min(limit, len(keys))] {
		messages = append(messages, toMessage(key, m.suspects[key].ends, now))
	}
	return messages
}

// sharedBeside returns the ends that are recorded under reported requests and shared with other nodes, without those that are reported.
func (m *Memory) sharedBeside(reported []*wirepb.RequestEnds, now time.Time) []*wirepb.RequestEnds {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var messages []*wirepb.RequestEnds
	for _, message := range reported {
		key, valid := keyOf(message)
		record := m.suspects[key]
		if !valid || record == nil {
			continue
		}
		further := slices.DeleteFunc(slices.Clone(record.ends), func(end endRecord) bool {
			return !end.shared || slices.ContainsFunc(message.GetEnds(), func(other *wirepb.EngineEnd) bool {
				return end.same(receivedEnd(other, now).End)
			})
		})
		if len(further) > 0 {
			messages = append(messages, toMessage(key, further, now))
		}
	}
	return messages
}

// keyOf returns the key of the request in a message, and whether it has one.
func keyOf(message *wirepb.RequestEnds) (key Key, valid bool) {
	return key, copy(key[:], message.GetKey()) == len(key)
}

// toMessage converts the ends of a request to the message sent to peers.
func toMessage(key Key, ends []endRecord, now time.Time) *wirepb.RequestEnds {
	message := &wirepb.RequestEnds{Key: key[:]}
	for _, end := range ends {
		message.Ends = append(message.Ends, &wirepb.EngineEnd{
			Engine:         end.Engine,
			Try:            truncateTry(end.Try),
			SentMillisAgo:  now.Sub(end.SentAt).Milliseconds(),
			EndedMillisAgo: now.Sub(end.EndedAt).Milliseconds(),
			Cleared:        end.cleared,
		})
	}
	return message
}

// merge adds what a peer has recorded. It ignores requests and ends that lack a key or an engine.
func (m *Memory) merge(messages []*wirepb.RequestEnds, now time.Time) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	for _, message := range messages {
		key, valid := keyOf(message)
		if !valid {
			continue
		}
		record := m.suspectOf(key)
		for _, end := range message.GetEnds() {
			if end.GetEngine() != "" {
				record.add(receivedEnd(end, now))
			}
		}
		m.dropIfUnused(key, record)
	}
}

// receivedEnd converts a peer's message to an end.
func receivedEnd(message *wirepb.EngineEnd, now time.Time) endRecord {
	return endRecord{cleared: message.GetCleared(), shared: true, End: End{
		Engine:  message.GetEngine(),
		Try:     message.GetTry(),
		SentAt:  now.Add(-age(message.GetSentMillisAgo())),
		EndedAt: now.Add(-age(message.GetEndedMillisAgo())),
	}}
}

// age converts milliseconds received from a peer, limited to the range from 0 to retention.
func age(millis int64) time.Duration {
	return time.Duration(min(max(0, millis), retention.Milliseconds())) * time.Millisecond
}
