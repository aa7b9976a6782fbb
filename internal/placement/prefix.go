package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// blockTokens is the size of one prefix block, as the scheduler counts them.
const blockTokens = backend.BlockBytes / backend.BytesPerToken

// maxEngineBlocks bounds the blocks remembered of one engine. Beyond it the
// older half is forgotten, as an engine forgets what it has not used for long.
const maxEngineBlocks = 8192

// Part is one part of a prompt, which prompts may share.
type Part struct {
	ID     string
	Tokens int64
}

// blocksOf returns the chained hashes of a prompt's blocks, as
// scheduler.Call.PrefixBlocks wants them: equal at one place only if equal at
// every place before it.
func blocksOf(parts []Part) []uint64 {
	var blocks []uint64
	var chain uint64
	var link [24]byte
	for _, part := range parts {
		id := xxhash.Sum64String(part.ID)
		for i := range (part.Tokens + blockTokens/2) / blockTokens {
			binary.LittleEndian.PutUint64(link[:8], chain)
			binary.LittleEndian.PutUint64(link[8:16], id)
			binary.LittleEndian.PutUint64(link[16:], uint64(i))
			chain = xxhash.Sum64(link[:])
			blocks = append(blocks, chain)
		}
	}
	return blocks
}

// prefixIndex remembers which prompts this node has sent to which engine. It
// is a hint: engines forget, and other nodes send prompts too. Not safe for
// concurrent use.
type prefixIndex struct {
	engines map[string]*engineBlocks
}

// engineBlocks are two generations of blocks.
type engineBlocks struct {
	newer, older map[uint64]struct{}
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{engines: make(map[string]*engineBlocks)}
}

// CachedBlocks implements scheduler.PrefixIndex.
func (p *prefixIndex) CachedBlocks(engine string, blocks []uint64) int {
	known := p.engines[engine]
	if known == nil {
		return 0
	}
	count := 0
	for _, block := range blocks {
		if !known.has(block) {
			break
		}
		count++
	}
	return count
}

func (b *engineBlocks) has(block uint64) bool {
	if _, found := b.newer[block]; found {
		return true
	}
	_, found := b.older[block]
	return found
}

// add notes that an engine has read a prompt.
func (p *prefixIndex) add(engine string, blocks []uint64) {
	known := p.engines[engine]
	if known == nil {
		known = &engineBlocks{newer: make(map[uint64]struct{})}
		p.engines[engine] = known
	}
	for _, block := range blocks {
		known.newer[block] = struct{}{}
	}
	if len(known.newer) > maxEngineBlocks/2 {
		known.older, known.newer = known.newer, make(map[uint64]struct{})
	}
}

// keepOnly forgets the engines that are gone.
func (p *prefixIndex) keepOnly(present func(engine string) bool) {
	for engine := range p.engines {
		if !present(engine) {
			delete(p.engines, engine)
		}
	}
}
