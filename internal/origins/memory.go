package origins

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Limits of a Memory.
const (
	// maxOrigins is the maximum number of origins, of about 200 bytes each.
	maxOrigins = 1 << 16
	// dropPeriod is the time between two scans for expired origins.
	dropPeriod = time.Second
)

// record is an origin in a Memory.
type record struct {
	Origin
	own        bool     // this node started the stream
	replicated bool     // it was sent to peers
	begun      bool     // this node sent the stream's first event, or is about to
	holders    *holders // of a stream that this node started; else nil
}

// batchOrigin is an origin that is sent to peers together with others.
type batchOrigin struct {
	Origin
	holders *holders // nil if another node started the stream
}

// Memory stores the origins that a node has. Safe for concurrent use.
type Memory struct {
	mutex    sync.Mutex
	origins  map[string]record // by stream
	lastDrop time.Time         // time of the last scan for expired origins
	dropped  uint64            // origins that were not stored because of maxOrigins
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory { return &Memory{origins: make(map[string]record)} }

// Put stores an origin, unless one of a later attempt of the same stream is stored. It reports whether the origin, or a
// later one, is stored now.
func (m *Memory) Put(origin Origin, now time.Time) bool {
	return m.put(record{Origin: origin}, now)
}

// putOwn stores the origin of a stream that this node starts, with the peers that may have stored it.
func (m *Memory) putOwn(origin Origin, holders *holders, replicated bool, now time.Time) {
	m.put(record{Origin: origin, own: true, replicated: replicated, holders: holders}, now)
}

func (m *Memory) put(next record, now time.Time) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.dropExpired(now)
	existing, found := m.origins[next.Stream]
	switch {
	case found && existing.Attempt > next.Attempt:
		return true
	case found && existing.own && !next.own && existing.Attempt == next.Attempt && existing.Engine == next.Engine && existing.Version == next.Version:
		return true // a peer that stops returns what this node has sent it
	case !found && len(m.origins) >= maxOrigins:
		m.dropped++
		return false
	}
	m.origins[next.Stream] = next
	return true
}

// Get returns a stream's origin, unless it has expired.
func (m *Memory) Get(stream string, now time.Time) (Origin, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	rec, found := m.origins[stream]
	return rec.Origin, found && now.Before(rec.ExpiresAt)
}

// takeUnreplicated returns the origins of a service's streams that this node started and did not replicate, and marks them
// as replicated.
func (m *Memory) takeUnreplicated(service string, now time.Time) []batchOrigin {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var unreplicated []batchOrigin
	for stream, rec := range m.origins {
		if rec.own && !rec.replicated && rec.Service == service && now.Before(rec.ExpiresAt) {
			unreplicated = append(unreplicated, batchOrigin{rec.Origin, rec.holders})
			rec.replicated = true
			m.origins[stream] = rec
		}
	}
	slices.SortFunc(unreplicated, func(a, b batchOrigin) int { return a.SentAt.Compare(b.SentAt) })
	return unreplicated
}

// markBegun records that this node is about to send the first event of a stream that began at an origin, if that is the stored one,
// which it returns then.
func (m *Memory) markBegun(origin Origin) (Origin, bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	rec, found := m.origins[origin.Stream]
	if !found || !rec.own || !rec.sameSend(origin) {
		return Origin{}, false
	}
	rec.begun = true
	m.origins[origin.Stream] = rec
	return rec.Origin, true
}

// Begun returns the origins of the streams that this node started and whose first event it has sent or is about to send, newest
// first.
func (m *Memory) Begun(now time.Time) []Origin {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	var begun []Origin
	for _, rec := range m.origins {
		if rec.begun && now.Before(rec.ExpiresAt) {
			begun = append(begun, rec.Origin)
		}
	}
	slices.SortFunc(begun, func(a, b Origin) int {
		return cmp.Or(b.SentAt.Compare(a.SentAt), cmp.Compare(a.Stream, b.Stream))
	})
	return begun
}

// all returns every origin that has not expired.
func (m *Memory) all(now time.Time) []batchOrigin {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	all := make([]batchOrigin, 0, len(m.origins))
	for _, rec := range m.origins {
		if now.Before(rec.ExpiresAt) {
			all = append(all, batchOrigin{rec.Origin, rec.holders})
		}
	}
	return all
}

// Len returns how many origins are stored, and how many were dropped because of maxOrigins.
func (m *Memory) Len() (count int, dropped uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.origins), m.dropped
}

// dropExpired drops expired origins, at most once per dropPeriod. The mutex must be held.
func (m *Memory) dropExpired(now time.Time) {
	if now.Sub(m.lastDrop) < dropPeriod {
		return
	}
	m.lastDrop = now
	for stream, rec := range m.origins {
		if !now.Before(rec.ExpiresAt) {
			delete(m.origins, stream)
		}
	}
}
