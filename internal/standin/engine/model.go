// Package engine is a stand-in for a model engine: a timing model of
// continuous batching with a prefix cache of limited memory, and an HTTP
// server that drives the model in real time.
package engine

import (
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// BlockTokens is the size of one cache block in tokens.
const BlockTokens = backend.BlockBytes / backend.BytesPerToken

// Defaults of ModelOptions.
const (
	DefaultMaxRunning  = 8
	DefaultCacheTokens = 1 << 18
	DefaultHoldTTL     = 10 * time.Minute
)

// Errors of Submit.
var (
	// ErrTooLarge is returned if prompt and answer cannot fit the cache.
	ErrTooLarge = errors.New("request is larger than the engine's cache")
	// ErrDuplicate is returned if a request with this id is waiting or running.
	ErrDuplicate = errors.New("request id is in use")
)

// ModelOptions sets a Model's size and speed. Rates are in tokens per second;
// a rate of zero means that the work takes no time.
type ModelOptions struct {
	MaxRunning    int     // sequences in the batch; zero means DefaultMaxRunning
	CacheTokens   int64   // cache capacity; zero means DefaultCacheTokens
	PrefillRate   float64 // of the whole engine
	DecodeRate    float64 // of one sequence that runs alone
	BatchSlowdown float64 // decode takes 1 + BatchSlowdown*(running-1) times as long
	TransferRate  float64 // of cache imports
	HoldTTL       time.Duration
	FirstSequence uint64 // the first cache event has this number + 1
}

// Request is one sequence to run. FinalBlocks are the blocks of the prompt
// with the answer and begin with PromptBlocks; backend.PrefixBlocks computes
// both.
type Request struct {
	ID           string
	Program      string
	Priority     int // higher runs first
	PromptTokens int64
	AnswerTokens int64
	PromptBlocks []uint64
	FinalBlocks  []uint64
}

// EventKind is the kind of an Event.
type EventKind int

// Kinds of event.
const (
	EventStarted EventKind = iota + 1 // left the queue
	EventFirstToken
	EventFinished
	EventCancelled
	EventImported // the cache of Program was imported; Request is empty
)

// Event is a state change of a request. WastedTokens are the prompt tokens
// that were prefilled although this engine had them cached before.
// AnswerTokens are the tokens decoded so far.
type Event struct {
	Kind         EventKind
	At           time.Time
	Request      string
	Program      string
	PromptTokens int64
	CachedTokens int64
	WastedTokens int64
	AnswerTokens int64
}

// Counters are sums over the lifetime of a Model. Prompt tokens are counted
// when their prefill ends, answer tokens when their request finishes.
type Counters struct {
	PromptTokens int64
	CachedTokens int64
	WastedTokens int64
	AnswerTokens int64
	Finished     int64
	Cancelled    int64
}

// Model is the timing model. Prefill runs in the order of admission, one
// sequence at a time at the whole prefill rate; all sequences past their
// prefill decode concurrently. A sequence is admitted when there is memory
// for its prompt and whole answer, and nothing overtakes the head of the
// queue. The times passed to calls must not decrease. A Model is
// deterministic and is not safe for concurrent use.
type Model struct {
	options    ModelOptions
	now        time.Time
	slowFactor float64
	cache      *cache
	arrivals   uint64
	waiting    []*sequence // by priority, then arrival
	running    []*sequence // in order of admission
	transfers  []transfer  // in order of completion
	counters   Counters
	events     []Event // not yet returned by Advance
}

// sequence is a request that is waiting or running.
type sequence struct {
	request     Request
	arrival     uint64
	decoding    bool
	prefillLeft float64 // tokens
	decodeLeft  float64 // tokens
	cached      int64
	wasted      int64
	memory      allocation
	released    bool // its program was released: leave no hold when it ends
}

// NewModel returns an idle model at a point in time.
func NewModel(options ModelOptions, now time.Time) *Model {
	if options.MaxRunning <= 0 {
		options.MaxRunning = DefaultMaxRunning
	}
	if options.CacheTokens <= 0 {
		options.CacheTokens = DefaultCacheTokens
	}
	if options.HoldTTL <= 0 {
		options.HoldTTL = DefaultHoldTTL
	}
	return &Model{
		options:    options,
		now:        now,
		slowFactor: 1,
		cache:      newCache(options.CacheTokens/BlockTokens, options.HoldTTL, options.FirstSequence),
	}
}

// Submit adds a request to the queue.
func (m *Model) Submit(now time.Time, request Request) error {
	m.advanceTo(now)
	if requestBlocks(request) > m.cache.capacity {
		return ErrTooLarge
	}
	if m.find(request.ID) != nil {
		return ErrDuplicate
	}
	m.arrivals++
	entry := &sequence{request: request, arrival: m.arrivals}
	position, _ := slices.BinarySearchFunc(m.waiting, entry, compareWaiting)
	m.waiting = slices.Insert(m.waiting, position, entry)
	m.applyTransitions()
	return nil
}

// compareWaiting orders the queue by priority, then arrival.
func compareWaiting(a, b *sequence) int {
	if a.request.Priority != b.request.Priority {
		return b.request.Priority - a.request.Priority
	}
	if a.arrival < b.arrival {
		return -1
	}
	return 1
}

// Cancel removes a waiting or running request; it returns false if there is
// none with this id. Blocks that its prefill has stored stay in the cache.
func (m *Model) Cancel(now time.Time, id string) bool {
	m.advanceTo(now)
	entry := m.find(id)
	if entry == nil {
		return false
	}
	m.waiting = slices.DeleteFunc(m.waiting, func(s *sequence) bool { return s == entry })
	m.running = slices.DeleteFunc(m.running, func(s *sequence) bool { return s == entry })
	m.cache.free(&entry.memory)
	m.counters.Cancelled++
	m.emit(EventCancelled, entry)
	m.applyTransitions()
	return true
}

// Release drops the hold of a program and its imports in progress. Its
// waiting and running requests leave no hold when they end.
func (m *Model) Release(now time.Time, program string) {
	m.advanceTo(now)
	m.cache.release(program)
	m.transfers = slices.DeleteFunc(m.transfers, func(t transfer) bool { return t.program == program })
	for _, queue := range [][]*sequence{m.waiting, m.running} {
		for _, entry := range queue {
			if entry.request.Program == program {
				entry.released = true
			}
		}
	}
}

// Holds returns the programs that hold cache, sorted.
func (m *Model) Holds(now time.Time) []string {
	m.advanceTo(now)
	return m.cache.holders()
}

// NextEvent returns when the next event is due if no further calls are made;
// false if none is.
func (m *Model) NextEvent() (time.Time, bool) {
	if len(m.events) > 0 {
		return m.now, true
	}
	return m.nextChange()
}

// Advance advances the time to now and returns the events since the last Advance.
func (m *Model) Advance(now time.Time) []Event {
	m.advanceTo(now)
	events := m.events
	m.events = nil
	return events
}

// SetSlowFactor makes all further work take factor times as long.
func (m *Model) SetSlowFactor(now time.Time, factor float64) {
	m.advanceTo(now)
	if factor <= 0 {
		factor = 1
	}
	m.slowFactor = factor
}

// Decoded returns the number of answer tokens that a running request has
// decoded, and false if it is not running.
func (m *Model) Decoded(id string) (int64, bool) {
	for _, entry := range m.running {
		if entry.request.ID == id {
			return entry.decoded(), true
		}
	}
	return 0, false
}

// Load returns the model's part of a backend.Load; the server fills in the
// names.
func (m *Model) Load(now time.Time) backend.Load {
	m.advanceTo(now)
	return backend.Load{
		Running:             len(m.running),
		Waiting:             len(m.waiting),
		MaxRunning:          m.options.MaxRunning,
		CacheUsedTokens:     m.cache.used() * BlockTokens,
		CacheCapacityTokens: m.cache.capacity * BlockTokens,
		PrefillTokensPerSec: m.prefillRate(),
		DecodeTokensPerSec:  m.options.DecodeRate / m.slowFactor,
	}
}

// Counters returns the current counters.
func (m *Model) Counters() Counters { return m.counters }

// CacheEvents returns the cache events after a sequence number that happened
// at or before a point in time, or a snapshot if after is 0 or not retained.
func (m *Model) CacheEvents(after uint64, until time.Time) backend.CacheEvents {
	return m.cache.log.page(after, until, m.cache.snapshot)
}

func (m *Model) find(id string) *sequence {
	for _, queue := range [][]*sequence{m.running, m.waiting} {
		for _, entry := range queue {
			if entry.request.ID == id {
				return entry
			}
		}
	}
	return nil
}

func (m *Model) emit(kind EventKind, entry *sequence) {
	m.events = append(m.events, Event{
		Kind:         kind,
		At:           m.now,
		Request:      entry.request.ID,
		Program:      entry.request.Program,
		PromptTokens: entry.request.PromptTokens,
		CachedTokens: entry.cached,
		WastedTokens: entry.wasted,
		AnswerTokens: entry.decoded(),
	})
}

// decoded returns the number of complete answer tokens decoded so far.
func (s *sequence) decoded() int64 {
	if !s.decoding {
		return 0
	}
	return s.request.AnswerTokens - int64(math.Ceil(s.decodeLeft))
}

// requestBlocks returns the number of blocks that a request needs when it ends.
func requestBlocks(request Request) int64 {
	tokens := request.PromptTokens + request.AnswerTokens
	blocks := (tokens + BlockTokens - 1) / BlockTokens
	return max(blocks, int64(len(request.PromptBlocks)), int64(len(request.FinalBlocks)))
}
