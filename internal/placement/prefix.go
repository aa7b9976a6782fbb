package placement

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// blockTokens is the size of one prefix block in tokens, as the scheduler counts them.
const blockTokens = backend.BlockBytes / backend.BytesPerToken

// Bounds of the prefix index.
const (
	// maxEngineParts bounds the parts that are kept for one engine. Beyond it the older half is dropped.
	maxEngineParts = 4096
	// minSharedTokens is the minimum length of a prompt's first part for other nodes to be notified
	// of where it is cached.
	minSharedTokens = 2048
)

// partStart is set in the hash of the first block of each part, and in no other. That hash
// identifies the part even after the part has grown: the last part of a prompt, that of its
// conversation, grows with each turn.
const partStart = 1

// PromptPart is one part of a prompt. Prompts can share parts.
type PromptPart struct {
	ID     string
	Tokens int64
}

// blocksOf returns the chained hashes of a prompt's blocks, as scheduler.Call.PrefixBlocks needs
// them: two hashes at one position are equal only if those at every earlier position are. The
// blocks of a part that has grown begin with the blocks that it had before.
func blocksOf(parts []PromptPart) []uint64 {
	var blocks []uint64
	var before uint64 // hash of the parts before this one, with their lengths
	var input [24]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(input[:8], before)
		binary.LittleEndian.PutUint64(input[8:16], xxhash.Sum64String(part.ID))
		count := (part.Tokens + blockTokens/2) / blockTokens
		for i := range count {
			binary.LittleEndian.PutUint64(input[16:], uint64(i))
			block := xxhash.Sum64(input[:]) &^ partStart
			if i == 0 {
				block |= partStart
			}
			blocks = append(blocks, block)
		}
		binary.LittleEndian.PutUint64(input[16:], math.MaxUint64-uint64(count))
		before = xxhash.Sum64(input[:])
	}
	return blocks
}

// partLength returns the number of blocks of the part at the start of blocks.
func partLength(blocks []uint64) int {
	length := 1
	for length < len(blocks) && blocks[length]&partStart == 0 {
		length++
	}
	return length
}

// sharedFirstPart returns the hash of a prompt's first part if the part is long and other parts
// follow: prompts of many programs begin with such a part.
func sharedFirstPart(parts []PromptPart, blocks []uint64) (uint64, bool) {
	if len(parts) < 2 || parts[0].Tokens < minSharedTokens || len(blocks) == 0 {
		return 0, false
	}
	return blocks[0], true
}

// wholePart is the length of a part that an engine has read to its end, when the number of blocks
// is not known.
const wholePart = math.MaxInt

// prefixIndex records which prompts engines have read, from this node's own requests and from the
// reports of other nodes. It is a hint: engines evict prompts. Not safe for concurrent use.
type prefixIndex struct {
	engines map[string]*engineParts
}

// engineParts holds how many blocks of each part an engine has read, by the hash of the part's
// first block, in two generations.
type engineParts struct {
	newer, older map[uint64]int
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{engines: make(map[string]*engineParts)}
}

// CachedBlocks implements scheduler.PrefixIndex.
func (p *prefixIndex) CachedBlocks(engine string, blocks []uint64) int {
	parts := p.engines[engine]
	if parts == nil {
		return 0
	}
	cached := 0
	for cached < len(blocks) {
		length := partLength(blocks[cached:])
		blocksRead := parts.read(blocks[cached])
		if blocksRead < length {
			return cached + blocksRead
		}
		cached += length
	}
	return cached
}

// blocksRead returns how many blocks of a part the engine has read.
func (p *engineParts) read(part uint64) int {
	if length, found := p.newer[part]; found {
		return length
	}
	return p.older[part]
}

// add records that an engine has read a prompt.
func (p *prefixIndex) add(engine string, blocks []uint64) {
	for len(blocks) > 0 {
		length := partLength(blocks)
		p.addPart(engine, blocks[0], length)
		blocks = blocks[length:]
	}
}

// addPart records that an engine has read the first length blocks of a part. It reports whether
// the part is new for that engine.
func (p *prefixIndex) addPart(engine string, part uint64, length int) bool {
	parts := p.engines[engine]
	if parts == nil {
		parts = &engineParts{newer: make(map[uint64]int)}
		p.engines[engine] = parts
	}
	before := parts.read(part)
	parts.newer[part] = max(before, length)
	if len(parts.newer) > maxEngineParts/2 {
		parts.older, parts.newer = parts.newer, make(map[uint64]int)
	}
	return before == 0
}

// keepOnly drops the engines that were removed.
func (p *prefixIndex) keepOnly(present func(engine string) bool) {
	for engine := range p.engines {
		if !present(engine) {
			delete(p.engines, engine)
		}
	}
}
