package engine

import (
	"container/list"
	"slices"
	"strconv"
	"time"
)

// cache is the prefix cache: blocks that are pinned by running sequences,
// held for programs, or free for eviction. Eviction takes free blocks first
// and then held ones, least recently used first, and the end of a prefix
// before its beginning. Sizes are in blocks. Stored blocks and reservations
// together never exceed the capacity.
type cache struct {
	capacity int64
	reserved int64 // for blocks that running sequences will store
	blocks   map[uint64]*block
	unheld   *list.List // unpinned blocks without a hold, most recently used in front
	held     *list.List // unpinned blocks with a hold, most recently used in front
	holds    *holdTable
	seen     *seenSet // blocks that were stored before, to count wasted prefill
	log      *eventLog
	now      time.Time
}

// block is one stored block.
type block struct {
	hash    uint64
	pins    int // running sequences that use it
	holds   int // programs that hold it
	program string
	shared  bool          // used by more than one program
	element *list.Element // in unheld or held; nil if pinned or evicted
	evicted bool
}

// allocation is the memory of one sequence: the blocks it has pinned, in
// order of the prefix, and the number of blocks reserved for the rest.
type allocation struct {
	blocks   []*block
	reserved int64
}

func newCache(capacity int64, holdTTL time.Duration, firstSequence uint64) *cache {
	return &cache{
		capacity: capacity,
		blocks:   map[uint64]*block{},
		unheld:   list.New(),
		held:     list.New(),
		holds:    newHoldTable(holdTTL),
		seen:     newSeenSet(),
		log:      newEventLog(firstSequence),
	}
}

func (c *cache) used() int64 { return int64(len(c.blocks)) + c.reserved }

// setTime sets the current time and drops expired holds.
func (c *cache) setTime(now time.Time) {
	c.now = now
	for _, program := range c.holds.expired(now) {
		c.release(program)
	}
}

// allocate pins the cached prefix of a prompt and reserves memory up to total
// blocks, evicting as needed. It changes nothing and returns false if pinned
// blocks and reservations leave too little.
func (c *cache) allocate(memory *allocation, program string, prompt []uint64, total int64) bool {
	prefix := c.cachedPrefix(prompt)
	needed := max(total-int64(len(prefix)), 0)
	available := c.capacity - c.used() + int64(c.unheld.Len()+c.held.Len())
	for _, cached := range prefix {
		if cached.element != nil {
			available--
		}
	}
	if available < needed {
		return false
	}
	for _, cached := range prefix {
		c.pin(cached, program)
	}
	memory.blocks = prefix
	memory.reserved = needed
	for c.capacity-c.used() < needed {
		c.evictOne()
	}
	c.reserved += needed
	return true
}

func (c *cache) cachedPrefix(prompt []uint64) []*block {
	var prefix []*block
	for _, hash := range prompt {
		cached := c.blocks[hash]
		if cached == nil {
			break
		}
		prefix = append(prefix, cached)
	}
	return prefix
}

// store converts reservations into stored, pinned blocks for the part of a
// prefix that the allocation does not have yet.
func (c *cache) store(memory *allocation, program string, prefix []uint64) {
	for _, hash := range prefix[min(len(memory.blocks), len(prefix)):] {
		c.reserved--
		memory.reserved--
		stored := c.blocks[hash]
		if stored == nil {
			stored = c.add(hash)
		}
		c.pin(stored, program)
		memory.blocks = append(memory.blocks, stored)
	}
}

// free returns an allocation.
func (c *cache) free(memory *allocation) {
	c.reserved -= memory.reserved
	for _, pinned := range slices.Backward(memory.blocks) {
		pinned.pins--
		c.enlist(pinned)
	}
	*memory = allocation{}
}

func (c *cache) add(hash uint64) *block {
	added := &block{hash: hash}
	c.blocks[hash] = added
	c.seen.add(hash)
	c.log.append(hash, true, c.now)
	return added
}

func (c *cache) pin(pinned *block, program string) {
	c.delist(pinned)
	pinned.pins++
	if pinned.program == "" {
		pinned.program = program
	}
	if pinned.program != program {
		pinned.shared = true
	}
}

// enlist puts an unpinned block in front of the list that it belongs to.
func (c *cache) enlist(entry *block) {
	if entry.pins > 0 || entry.evicted {
		return
	}
	c.delist(entry)
	if entry.holds > 0 {
		entry.element = c.held.PushFront(entry)
		return
	}
	entry.element = c.unheld.PushFront(entry)
}

// delist removes a block from the list that it is in, if any.
func (c *cache) delist(entry *block) {
	if entry.element == nil {
		return
	}
	// Remove has no effect on an element of another list.
	c.unheld.Remove(entry.element)
	c.held.Remove(entry.element)
	entry.element = nil
}

// evictOne evicts the unpinned block that comes first in eviction order; there must be one.
func (c *cache) evictOne() {
	victim := c.unheld.Back()
	if victim == nil {
		victim = c.held.Back()
	}
	evicted := victim.Value.(*block)
	c.delist(evicted)
	evicted.evicted = true
	delete(c.blocks, evicted.hash)
	c.log.append(evicted.hash, false, c.now)
}

// hold replaces the blocks that a program holds.
func (c *cache) hold(program string, blocks []*block) {
	for _, held := range blocks {
		held.holds++
	}
	c.release(program)
	c.holds.put(program, slices.Clone(blocks), c.now)
}

// release drops a program's hold. Blocks that no other program has used
// become the next to be evicted.
func (c *cache) release(program string) {
	blocks := c.holds.remove(program)
	for _, dropped := range blocks {
		dropped.holds--
	}
	for _, dropped := range slices.Backward(blocks) {
		if dropped.holds == 0 {
			c.enlist(dropped)
		}
	}
	for _, dropped := range blocks {
		if dropped.element != nil && dropped.holds == 0 && !dropped.shared {
			c.unheld.MoveToBack(dropped.element)
		}
	}
}

// importBlocks stores as many leading blocks as fit and holds them for the program.
func (c *cache) importBlocks(program string, hashes []uint64) {
	var memory allocation
	for _, hash := range hashes {
		entry := c.blocks[hash]
		if entry == nil && !c.makeRoom() {
			break
		}
		if entry == nil {
			entry = c.add(hash)
		}
		c.pin(entry, program)
		memory.blocks = append(memory.blocks, entry)
	}
	c.hold(program, memory.blocks)
	c.free(&memory)
}

// makeRoom evicts a block if the cache is full; it returns false if all blocks are pinned.
func (c *cache) makeRoom() bool {
	if c.used() < c.capacity {
		return true
	}
	if c.unheld.Len()+c.held.Len() == 0 {
		return false
	}
	c.evictOne()
	return true
}

// heldBlocks returns a program's held blocks up to the first evicted one.
func (c *cache) heldBlocks(program string) []uint64 {
	var hashes []uint64
	for _, held := range c.holds.blocks(program) {
		if held.evicted {
			break
		}
		hashes = append(hashes, held.hash)
	}
	return hashes
}

func (c *cache) holders() []string { return c.holds.programs() }

// seenBlocks counts the blocks that were stored here before.
func (c *cache) seenBlocks(hashes []uint64) int64 {
	count := int64(0)
	for _, hash := range hashes {
		if c.seen.has(hash) {
			count++
		}
	}
	return count
}

// snapshot returns all stored blocks as decimal numbers, sorted.
func (c *cache) snapshot() []string {
	hashes := make([]uint64, 0, len(c.blocks))
	for hash := range c.blocks {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	texts := make([]string, len(hashes))
	for position, hash := range hashes {
		texts[position] = strconv.FormatUint(hash, 10)
	}
	return texts
}
