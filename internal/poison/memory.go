package poison

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of a Memory.
const (
	// retention is how long after its last end a request is remembered.
	retention = 10 * time.Minute
	// maxRequests is the maximum number of requests, of about 500 bytes each.
	maxRequests = 1 << 13
	// maxEnds is the maximum number of ends that are stored for one request, the latest ones.
	maxEnds = 16
	// expiryPeriod is the time between two scans for expired requests.
	expiryPeriod = time.Second
)

// endRecord is an end as it is stored.
type endRecord struct {
	End
	cleared  bool   // it does not count: the request was answered since, or the engine has not ended
	presumed bool   // a check by this node is to show whether the engine has ended
	shared   bool   // other nodes have it, or are to get it
	sequence uint64 // of the last change by this node that others are to get; 0 if there is none
}

// suspect is the state of one request under which engines ended, or may have ended.
type suspect struct {
	key        Key
	ends       []endRecord
	checks     map[string]int // checks in progress, by engine
	changed    chan struct{}  // closed when a check ends, and replaced by another one
	answeredAt time.Time      // last answer of an engine that this node passed on while it had this record
	lastEnd    time.Time
	ended      int // see countEnded
}

// Memory records under which requests engines ended. Safe for concurrent use.
type Memory struct {
	size atomic.Int64 // number of requests, for a quick look

	mutex      sync.Mutex
	suspects   map[Key]*suspect
	sequence   uint64           // of the last change by this node
	unwritten  map[Key]struct{} // requests with changes by this node that are not in the store; see Keeper
	lastExpiry time.Time
	dropped    uint64 // requests that were dropped because of maxRequests
}

// NewMemory returns an empty Memory.
func NewMemory() *Memory {
	return &Memory{suspects: make(map[Key]*suspect), unwritten: make(map[Key]struct{})}
}

// Empty reports whether no request is recorded. It takes no lock.
func (m *Memory) Empty() bool { return m.size.Load() == 0 }

// Check is an examination in progress: whether an engine ended under a request.
type Check struct {
	memory   *Memory
	key      Key
	engine   string
	presumed End // of Presume; empty if that was not called
}

// BeginCheck records that an engine may have ended under a request. Finish or Withdraw must be called.
func (m *Memory) BeginCheck(key Key, engine string, now time.Time) *Check {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	m.suspectOf(key).checks[engine]++
	return &Check{memory: m, key: key, engine: engine}
}

// Presume records an end before the check shows whether the engine has ended. It may be called again with a later time.
func (c *Check) Presume(end End) {
	m := c.memory
	end.Try = truncateTry(end.Try)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[c.key]
	if c.presumed == (End{}) && record.find(end) != nil {
		return // another check has settled it, or will
	}
	c.presumed = end
	record.add(endRecord{End: end, presumed: true})
}

// Finish ends the check of an engine that has ended. It reports whether the end was recorded: it is not if the request was
// answered after it was sent to the engine.
func (c *Check) Finish(end End) bool {
	m := c.memory
	end.Try = truncateTry(end.Try)
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[c.key]
	recorded := !record.answeredAt.After(end.SentAt)
	if recorded {
		record.add(endRecord{End: end})
	}
	m.endCheck(c, record)
	return recorded
}

// Withdraw ends the check of an engine that has not ended. It reports whether other nodes are to learn that, since the end
// was presumed and shared.
func (c *Check) Withdraw() bool {
	m := c.memory
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[c.key]
	changesShared := m.clear(record, c.presumed.same)
	m.endCheck(c, record)
	return changesShared
}

// endCheck removes a check. The mutex must be held.
func (m *Memory) endCheck(c *Check, record *suspect) {
	if record.checks[c.engine]--; record.checks[c.engine] == 0 {
		delete(record.checks, c.engine)
	}
	record.signal()
	m.dropIfUnused(c.key, record)
}

// Share selects the ends that are recorded under a request for the next report to other nodes. It reports whether there
// are any that were not selected before.
func (m *Memory) Share(key Key) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[key]
	return record != nil && m.share(record)
}

// share does so for a record. The mutex must be held.
func (m *Memory) share(record *suspect) bool {
	selected := false
	for i := range record.ends {
		if end := &record.ends[i]; !end.shared && !end.cleared {
			end.shared, end.sequence = true, m.noteChange(record.key)
			selected = true
		}
	}
	return selected
}

// shareAll selects the ends that are recorded under any request for the next report to other nodes.
func (m *Memory) shareAll() {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, record := range m.suspects {
		m.share(record)
	}
}

// awaitChecks returns once no check is in progress, or ctx ends.
func (m *Memory) awaitChecks(ctx context.Context) {
	for changed := m.anyCheck(); changed != nil; changed = m.anyCheck() {
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// anyCheck returns a channel that is closed when a check ends; nil if none is in progress.
func (m *Memory) anyCheck() <-chan struct{} {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	for _, record := range m.suspects {
		if len(record.checks) > 0 {
			return record.changed
		}
	}
	return nil
}

// clear records that the selected ends do not count. It reports whether other nodes are to learn that of any. The mutex
// must be held.
func (m *Memory) clear(record *suspect, selects func(end End) bool) bool {
	changesShared := false
	for i := range record.ends {
		end := &record.ends[i]
		if end.cleared || !selects(end.End) {
			continue
		}
		end.cleared, end.presumed = true, false
		if end.shared {
			end.sequence = m.noteChange(record.key)
			changesShared = true
		}
	}
	record.ended = record.countEnded()
	return changesShared
}

// Answered records that an engine answered a request, which clears it of all ends recorded so far. It reports whether
// other nodes are to learn that.
func (m *Memory) Answered(key Key, now time.Time) bool {
	if m.Empty() {
		return false
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[key]
	if record == nil {
		return false
	}
	record.answeredAt = now
	return m.clear(record, func(End) bool { return true })
}

// Standing is what is known of a request.
type Standing struct {
	Ended   int      // engines that ended under it one after another, or under one try; presumed ends count
	Settled int      // the same, without the ends that this node presumes
	Checks  int      // engines that are being checked
	Engines []string // IDs of all engines that ended under it, in order
	LastEnd time.Time
}

// StandingOf returns what is known of a request.
func (m *Memory) StandingOf(key Key, now time.Time) Standing {
	standing, _ := m.look(key, now)
	return standing
}

// SettledBefore returns how many engines ended under a request one after another that it was sent to before a time. Ends that this
// node presumes do not count.
func (m *Memory) SettledBefore(key Key, sentBefore time.Time) int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[key]
	if record == nil {
		return 0
	}
	return record.count(func(end endRecord) bool { return !end.presumed && end.SentAt.Before(sentBefore) })
}

// look returns what is known of a request, and a channel that is closed when a check ends; nil if none is in progress.
func (m *Memory) look(key Key, now time.Time) (Standing, <-chan struct{}) {
	if m.Empty() {
		return Standing{}, nil
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	record := m.suspects[key]
	if record == nil || record.expired(now) {
		return Standing{}, nil
	}
	standing := Standing{Ended: record.ended, Settled: record.countSettled(), Checks: len(record.checks), LastEnd: record.lastEnd}
	for _, end := range record.inOrder() {
		if !end.cleared && !slices.Contains(standing.Engines, end.Engine) {
			standing.Engines = append(standing.Engines, end.Engine)
		}
	}
	if len(record.checks) == 0 {
		return standing, nil
	}
	return standing, record.changed
}

// AwaitStanding returns what is known of a request. It waits for checks in progress as long as their results decide
// whether limit is reached, until ctx ends.
func (m *Memory) AwaitStanding(ctx context.Context, key Key, limit int) Standing {
	for {
		standing, changed := m.look(key, time.Now())
		if changed == nil || standing.Settled >= limit || standing.Ended+standing.Checks < limit {
			return standing
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return standing
		}
	}
}

// Len returns how many requests are recorded, how many of them no engine gets any more, and how many were dropped
// because of maxRequests.
func (m *Memory) Len(now time.Time) (count, stopped int, dropped uint64) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.expire(now)
	for _, record := range m.suspects {
		if record.ended >= MaxEngines {
			stopped++
		}
	}
	return len(m.suspects), stopped, m.dropped
}

// suspectOf returns the record of a request, which it adds if there is none. The mutex must be held.
func (m *Memory) suspectOf(key Key) *suspect {
	record := m.suspects[key]
	if record == nil {
		if len(m.suspects) >= maxRequests {
			m.dropLeast()
		}
		record = &suspect{key: key, checks: make(map[string]int), changed: make(chan struct{})}
		m.suspects[key] = record
		m.size.Store(int64(len(m.suspects)))
	}
	return record
}

// dropLeast drops the request with the fewest engines, of those the one with the oldest end. The mutex must be held.
func (m *Memory) dropLeast() {
	var least Key
	var found *suspect
	for key, record := range m.suspects {
		if len(record.checks) > 0 {
			continue
		}
		if found == nil || cmp.Or(cmp.Compare(record.ended, found.ended), record.lastEnd.Compare(found.lastEnd)) < 0 {
			least, found = key, record
		}
	}
	if found != nil {
		m.dropped++
		m.remove(least)
	}
}

func (m *Memory) remove(key Key) {
	delete(m.suspects, key)
	m.size.Store(int64(len(m.suspects)))
}

// dropIfUnused removes a record without ends and checks. The mutex must be held.
func (m *Memory) dropIfUnused(key Key, record *suspect) {
	if len(record.ends) == 0 && len(record.checks) == 0 {
		m.remove(key)
	}
}

// expire removes expired requests, at most once per expiryPeriod. The mutex must be held.
func (m *Memory) expire(now time.Time) {
	if now.Sub(m.lastExpiry) < expiryPeriod {
		return
	}
	m.lastExpiry = now
	for key, record := range m.suspects {
		if record.expired(now) {
			m.remove(key)
		}
	}
}

func (s *suspect) expired(now time.Time) bool {
	return len(s.checks) == 0 && now.Sub(s.lastEnd) > retention
}

// signal notifies those that wait for a check.
func (s *suspect) signal() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// find returns the stored end of the same engine under the same try; nil if there is none.
func (s *suspect) find(end End) *endRecord {
	for i := range s.ends {
		if s.ends[i].same(end) {
			return &s.ends[i]
		}
	}
	return nil
}

// add stores an end, or adds what it states to the stored end of the same engine under the same try. A cleared end stays
// cleared.
func (s *suspect) add(next endRecord) {
	stored := s.find(next.End)
	switch {
	case stored != nil:
		stored.update(next)
	case len(s.ends) < maxEnds || s.dropOldest(next.EndedAt):
		s.ends = append(s.ends, next)
		stored = &s.ends[len(s.ends)-1]
	default:
		return
	}
	if stored.EndedAt.After(s.lastEnd) {
		s.lastEnd = stored.EndedAt
	}
	s.ended = s.countEnded()
}

// update adds what another record of the same end states.
func (e *endRecord) update(next endRecord) {
	if e.cleared {
		return
	}
	if e.presumed && next.EndedAt.After(e.EndedAt) { // of others the first record is the most exact, by the delay of messages
		e.EndedAt = next.EndedAt
	}
	e.cleared, e.shared, e.presumed = next.cleared, e.shared || next.shared, e.presumed && next.presumed
}

// dropOldest drops the stored end that is the oldest, of the cleared ones if there are any; one that counts only if it is not later than
// a time. It reports whether it did.
func (s *suspect) dropOldest(before time.Time) bool {
	oldest := 0
	for i, end := range s.ends {
		first := s.ends[oldest]
		if end.cleared != first.cleared && end.cleared || end.cleared == first.cleared && end.EndedAt.Before(first.EndedAt) {
			oldest = i
		}
	}
	if !s.ends[oldest].cleared && !s.ends[oldest].EndedAt.Before(before) {
		return false
	}
	s.ends = slices.Delete(s.ends, oldest, oldest+1)
	return true
}

// tryEnds are the engines that ended under one try of a client.
type tryEnds struct {
	engines    int
	start, end time.Time // from the first send to the last end
}

// countEnded returns how many engines ended under the request one after another. Tries that overlap count as one, the one
// with the most engines: when several engines are lost at the same time, clients that happen to ask for the same thing
// there are not the cause.
func (s *suspect) countEnded() int { return s.count(func(endRecord) bool { return true }) }

// countSettled returns the same without the ends that this node presumes.
func (s *suspect) countSettled() int {
	return s.count(func(end endRecord) bool { return !end.presumed })
}

// count returns how many engines ended one after another, by the selected ends.
func (s *suspect) count(selects func(end endRecord) bool) int {
	byTry := make(map[string]*tryEnds)
	counted := make(map[string]bool) // by engine
	for _, end := range s.inOrder() {
		if end.cleared || counted[end.Engine] || !selects(end) {
			continue
		}
		counted[end.Engine] = true
		group := byTry[end.Try]
		if group == nil {
			group = &tryEnds{start: end.SentAt, end: end.EndedAt}
			byTry[end.Try] = group
		}
		group.engines++
		if end.SentAt.Before(group.start) {
			group.start = end.SentAt
		}
		if end.EndedAt.After(group.end) {
			group.end = end.EndedAt
		}
	}
	return longestSequence(byTry)
}

// inOrder returns the ends, the earliest first.
func (s *suspect) inOrder() []endRecord {
	return slices.SortedFunc(slices.Values(s.ends), func(a, b endRecord) int {
		return cmp.Or(a.EndedAt.Compare(b.EndedAt), cmp.Compare(a.Engine, b.Engine), cmp.Compare(a.Try, b.Try))
	})
}

// longestSequence returns the largest number of engines of tries of which none overlaps another.
func longestSequence(byTry map[string]*tryEnds) int {
	tries := make([]*tryEnds, 0, len(byTry))
	for _, group := range byTry {
		tries = append(tries, group)
	}
	slices.SortFunc(tries, func(a, b *tryEnds) int { return cmp.Or(a.end.Compare(b.end), a.start.Compare(b.start)) })
	best := make([]int, len(tries)+1) // best[i]: of the first i tries
	for i, group := range tries {
		before := i
		for before > 0 && tries[before-1].end.After(group.start) {
			before--
		}
		best[i+1] = max(best[i], best[before]+group.engines)
	}
	return best[len(tries)]
}
