package observation

import (
	"slices"
	"sync"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// Parameters of ServedPrefixes.
const (
	// linearMarks is how many of a prompt's first blocks are all marked;
	// after them, the distance between marks grows by markGrowth.
	linearMarks = 8
	markGrowth  = 8 // the distance to the next mark is 1/8 of the position
	// fullShare is the used share of its cache from which an engine is assumed to
	// evict one block for each block that it stores.
	fullShare = 0.9
)

// ServedPrefixes estimates which prompts this node's own calls have left in the engines'
// caches. Nodes that do not observe an engine use it instead of exact cache events.
// Of each prompt it marks the last block and a sample of the blocks before it. Since
// a block's hash covers all blocks before it, a marked block means that the prefix up
// to it is cached. Marks are dropped, oldest first, when the engine has since evicted
// its whole cache once, when the engine has restarted, or when there are too many.
// Safe for concurrent use.
type ServedPrefixes struct {
	maxMarks int // per engine
	engines  sync.Map
}

// servedEngine holds the marks of one engine.
type servedEngine struct {
	mutex    sync.Mutex
	marks    map[uint64]uint64 // block to the serial of its newest entry in queue
	queue    []markEntry       // oldest first; entries whose serial is not in marks are stale
	serial   uint64
	dropped  uint64 // estimated number of blocks that the engine has evicted so far
	events   uint64 // cache events at the last report
	reported bool
}

// markEntry is one use of a block.
type markEntry struct {
	block   uint64
	serial  uint64
	dropped uint64 // servedEngine.dropped at the time
}

// NewServedPrefixes returns an empty index with a maximum number of marks per engine.
func NewServedPrefixes(maxMarksPerEngine int) *ServedPrefixes {
	return &ServedPrefixes{maxMarks: maxMarksPerEngine}
}

// Mark records that an engine has just served a prompt.
func (s *ServedPrefixes) Mark(engine string, blocks []uint64) {
	if len(blocks) == 0 {
		return
	}
	state := s.engine(engine)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.add(blocks)
	state.trim(s.maxMarks)
}

// nextMark returns the position of the next marked block.
func nextMark(position int) int {
	if position < linearMarks {
		return position + 1
	}
	return position + position/markGrowth
}

// CachedBlocks returns the estimated number of leading blocks that the engine has cached.
func (s *ServedPrefixes) CachedBlocks(engine string, blocks []uint64) int {
	value, ok := s.engines.Load(engine)
	if !ok {
		return 0
	}
	state := value.(*servedEngine)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	next := 0
	for next < len(blocks) && state.has(blocks[next]) {
		next = nextMark(next)
	}
	// A prompt may have ended between the last mark found and the next.
	for position := min(next, len(blocks)) - 1; position >= 0; position-- {
		if state.has(blocks[position]) {
			return position + 1
		}
	}
	return 0
}

// ApplyReport updates the estimate of evicted blocks from an engine's cache events and cache use.
// It drops the marks of blocks that must have been evicted.
func (s *ServedPrefixes) ApplyReport(engine string, report Report) {
	value, ok := s.engines.Load(engine)
	if !ok {
		return
	}
	state := value.(*servedEngine)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.reported && report.CacheEvents < state.events {
		state.clearMarks()
	}
	if state.reported && isFull(report) && report.CacheEvents > state.events {
		state.dropped += (report.CacheEvents - state.events) / 2 // one event for the stored block, one for the evicted
	}
	state.events, state.reported = report.CacheEvents, true
	state.dropExpired(cacheBlocks(report))
}

// Remove drops all marks of an engine.
func (s *ServedPrefixes) Remove(engine string) { s.engines.Delete(engine) }

// MarkCount returns the number of marks of one engine.
func (s *ServedPrefixes) MarkCount(engine string) int {
	value, ok := s.engines.Load(engine)
	if !ok {
		return 0
	}
	state := value.(*servedEngine)
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return len(state.marks)
}

func (s *ServedPrefixes) engine(name string) *servedEngine {
	value, _ := s.engines.LoadOrStore(name, &servedEngine{marks: make(map[uint64]uint64)})
	return value.(*servedEngine)
}

func isFull(report Report) bool {
	capacity := report.Load.CacheCapacityTokens
	return capacity > 0 && float64(report.Load.CacheUsedTokens) >= fullShare*float64(capacity)
}

// cacheBlocks returns how many blocks the engine's cache holds.
func cacheBlocks(report Report) uint64 {
	return uint64(max(0, report.Load.CacheCapacityTokens) / (backend.BlockBytes / backend.BytesPerToken))
}

// The caller of the methods below must hold the engine's mutex.

func (e *servedEngine) has(block uint64) bool {
	_, marked := e.marks[block]
	return marked
}

// add marks a prompt from its end to its beginning. The beginning is shared by
// many prompts; marked last, it is dropped last.
func (e *servedEngine) add(blocks []uint64) {
	var positions []int
	for position := 0; position < len(blocks)-1; position = nextMark(position) {
		positions = append(positions, position)
	}
	positions = append(positions, len(blocks)-1)
	for _, position := range slices.Backward(positions) {
		e.mark(blocks[position])
	}
}

func (e *servedEngine) mark(block uint64) {
	e.serial++
	e.marks[block] = e.serial
	e.queue = append(e.queue, markEntry{block: block, serial: e.serial, dropped: e.dropped})
}

// trim drops the oldest marks over the limit, and removes the stale queue entries when they
// outnumber the others.
func (e *servedEngine) trim(limit int) {
	for len(e.marks) > limit {
		e.dropOldest()
	}
	if len(e.queue) <= 2*len(e.marks) {
		return
	}
	live := make([]markEntry, 0, len(e.marks))
	for _, entry := range e.queue {
		if e.marks[entry.block] == entry.serial {
			live = append(live, entry)
		}
	}
	e.queue = live
}

// dropExpired drops the marks since which the engine has evicted as many blocks as
// its cache holds: the engine evicts the least recently used block first.
func (e *servedEngine) dropExpired(capacity uint64) {
	for capacity > 0 && len(e.queue) > 0 && e.dropped-e.queue[0].dropped >= capacity {
		e.dropOldest()
	}
}

func (e *servedEngine) dropOldest() {
	oldest := e.queue[0]
	e.queue = e.queue[1:]
	if e.marks[oldest.block] == oldest.serial {
		delete(e.marks, oldest.block)
	}
}

func (e *servedEngine) clearMarks() {
	clear(e.marks)
	e.queue = nil
}
