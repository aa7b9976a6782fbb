package poison

import "time"

// noteChange records that other nodes are to learn a change of a request by this node, and returns the change's sequence number.
// The mutex must be held.
func (m *Memory) noteChange(key Key) uint64 {
	m.sequence++
	m.unwritten[key] = struct{}{}
	return m.sequence
}

// takeUnwritten returns up to limit requests whose row is to be written, and how many more there are. They count as written from then on.
func (m *Memory) takeUnwritten(limit int) (keys []Key, more int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for key := range m.unwritten {
		if len(keys) == limit {
			break
		}
		keys = append(keys, key)
		delete(m.unwritten, key)
	}
	return keys, len(m.unwritten)
}

// markUnwritten records that the rows of some requests are still to be written.
func (m *Memory) markUnwritten(keys []Key) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, key := range keys {
		m.unwritten[key] = struct{}{}
	}
}

// rowOf returns the row of a request, and whether any of its ends counts.
func (m *Memory) rowOf(key Key, now time.Time) (content row, counts bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[key]
	if record == nil {
		return row{WrittenUnixMilli: now.UnixMilli()}, false
	}
	content = newRow(record.ends, now)
	for _, end := range content.Ends {
		counts = counts || !end.Cleared
	}
	return content, counts
}

// isCleared reports whether none of the ends of a row counts any more, as this node knows.
func (m *Memory) isCleared(key Key, content row) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[key]
	for _, end := range content.Ends {
		if end.Cleared {
			continue
		}
		if record == nil {
			return false
		}
		if stored := record.find(End{Engine: end.Engine, Try: end.Try}); stored == nil || !stored.cleared {
			return false
		}
	}
	return true
}

// mergeRow adds what a row holds. Its times are by another machine's time of day; they are shifted so that an end that this node knows
// already has the time that it has here, since the order of ends decides how many count.
func (m *Memory) mergeRow(key Key, content row, now time.Time) {
	written := now.Add(-content.age(now))
	if content.age(now) > retention {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	record := m.suspectOf(key)
	ends := content.records(written)
	shift := record.shiftOf(ends)
	for _, end := range ends {
		end.SentAt, end.EndedAt = end.SentAt.Add(shift), end.EndedAt.Add(shift)
		record.add(end)
	}
	m.dropIfUnused(key, record)
}

// shiftOf returns by how much the times of ends differ from those of the same ends as they are stored; 0 if none is stored.
func (s *suspect) shiftOf(ends []endRecord) time.Duration {
	for _, end := range ends {
		if stored := s.find(end.End); stored != nil {
			return stored.SentAt.Sub(end.SentAt)
		}
	}
	return 0
}
