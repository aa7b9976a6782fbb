package backend

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
)

const (
	// indexShards is the number of shards of an engine's blocks; an update copies only the small
	// shard that it changes.
	indexShards = 1024
	// DefaultMaxBlocksPerEngine is the default maximum number of blocks of one engine in an Index.
	DefaultMaxBlocksPerEngine = 1 << 18
)

// Index records which prefix blocks each engine has cached, according to its cache events. Its content
// is a hint. Reads take no lock; updates of one engine are serialised and replace each changed shard
// by a copy, so that a reader may see a page of events partially applied. Safe for concurrent use.
type Index struct {
	maxBlocks int
	mutex     sync.Mutex // serialises changes of the engine table
	engines   atomic.Pointer[map[string]*engineBlocks]
}

// engineBlocks are the cached blocks of one engine.
type engineBlocks struct {
	mutex    sync.Mutex // serialises Apply
	sequence atomic.Uint64
	count    int // blocks in all shards; guarded by mutex
	table    atomic.Pointer[blockTable]
}

type blockTable [indexShards]atomic.Pointer[blockSet]

// blockSet is a sorted set of blocks that is immutable once published.
type blockSet []uint64

// NewIndex returns an empty index. maxBlocksPerEngine limits its memory; zero means
// DefaultMaxBlocksPerEngine. Blocks above the limit are not recorded.
func NewIndex(maxBlocksPerEngine int) *Index {
	if maxBlocksPerEngine <= 0 {
		maxBlocksPerEngine = DefaultMaxBlocksPerEngine
	}
	index := &Index{maxBlocks: maxBlocksPerEngine}
	index.engines.Store(&map[string]*engineBlocks{})
	return index
}

// CachedBlocks returns how many leading blocks the engine has cached.
func (x *Index) CachedBlocks(engine string, blocks []uint64) int {
	entry := (*x.engines.Load())[engine]
	if entry == nil {
		return 0
	}
	table := entry.table.Load()
	for position, block := range blocks {
		if !table.has(block) {
			return position
		}
	}
	return len(blocks)
}

// Sequence returns the sequence number up to which the engine's events were
// applied, or 0.
func (x *Index) Sequence(engine string) uint64 {
	if entry := (*x.engines.Load())[engine]; entry != nil {
		return entry.sequence.Load()
	}
	return 0
}

// Remove removes an engine from the index.
func (x *Index) Remove(engine string) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	engines := maps.Clone(*x.engines.Load())
	delete(engines, engine)
	x.engines.Store(&engines)
}

// Apply applies one page of an engine's cache events. A snapshot, or a page with a gap after the events
// applied before, replaces all blocks of the engine by the page's Blocks; if the page has a gap, the
// events after its last gap are then applied in order. Events that were applied before are skipped.
func (x *Index) Apply(engine string, page CacheEvents) {
	entry := x.engine(engine)
	entry.mutex.Lock()
	defer entry.mutex.Unlock()
	events, gap := page.following(entry.sequence.Load())
	if gap || page.Snapshot {
		entry.replace(page.Blocks, x.maxBlocks)
	}
	if !page.Snapshot {
		entry.applyEvents(events, x.maxBlocks)
	}
	entry.sequence.Store(page.Sequence)
}

// HasGap reports whether events are missing between the sequence number after and this page, or inside
// the page. A page that ends before after comes from an engine that has restarted, and counts as a gap.
func (p CacheEvents) HasGap(after uint64) bool {
	_, gap := p.following(after)
	return gap
}

// following returns the events that follow the sequence number after without
// a gap or, if there are gaps, those that follow the last gap.
func (p CacheEvents) following(after uint64) (events []CacheEvent, gap bool) {
	if p.Sequence < after {
		return p.Events, true
	}
	last := after
	start := 0
	for position, event := range p.Events {
		if event.Sequence <= after {
			start = position + 1
			continue
		}
		if event.Sequence != last+1 {
			gap = true
			start = position
		}
		last = event.Sequence
	}
	if last != p.Sequence {
		return nil, true
	}
	return p.Events[start:], gap
}

// engine returns an engine's entry and creates it if there is none.
func (x *Index) engine(name string) *engineBlocks {
	if entry := (*x.engines.Load())[name]; entry != nil {
		return entry
	}
	x.mutex.Lock()
	defer x.mutex.Unlock()
	engines := maps.Clone(*x.engines.Load())
	if entry := engines[name]; entry != nil {
		return entry
	}
	entry := &engineBlocks{}
	entry.table.Store(&blockTable{})
	engines[name] = entry
	x.engines.Store(&engines)
	return entry
}

// replace publishes a new table atomically: readers see the old or the new one.
func (e *engineBlocks) replace(blocks []string, limit int) {
	var sets [indexShards]blockSet
	for _, text := range blocks[:min(len(blocks), limit)] {
		block, err := strconv.ParseUint(text, 10, 64)
		if err != nil {
			continue
		}
		shard := shardOf(block)
		sets[shard] = append(sets[shard], block)
	}
	table := &blockTable{}
	e.count = 0
	for shard, set := range sets {
		slices.Sort(set)
		set = slices.Compact(set)
		e.count += len(set)
		table[shard].Store(&set)
	}
	e.table.Store(table)
}

func (e *engineBlocks) applyEvents(events []CacheEvent, limit int) {
	table := e.table.Load()
	for _, event := range events {
		shard := &table[shardOf(event.Block)]
		set := shard.Load().values()
		position, found := slices.BinarySearch(set, event.Block)
		switch {
		case event.Stored && !found && e.count < limit:
			set = slices.Insert(slices.Clone(set), position, event.Block)
			e.count++
		case !event.Stored && found:
			set = slices.Delete(slices.Clone(set), position, position+1)
			e.count--
		default:
			continue
		}
		shard.Store(&set)
	}
}

func (t *blockTable) has(block uint64) bool {
	_, found := slices.BinarySearch(t[shardOf(block)].Load().values(), block)
	return found
}

// values returns the set's blocks; a shard that was never stored has none.
func (s *blockSet) values() blockSet {
	if s == nil {
		return nil
	}
	return *s
}

func shardOf(block uint64) int { return int(block % indexShards) }
