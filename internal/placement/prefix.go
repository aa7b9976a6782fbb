package placement

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// blockTokens is the size of one prefix block, as the scheduler counts them.
const blockTokens = backend.BlockBytes / backend.BytesPerToken

// Bounds of what is remembered of one engine.
const (
	// maxEngineParts bounds the parts. Beyond it the older half is forgotten.
	maxEngineParts = 4096
	// minSharedTokens is how long the beginning of a prompt must be for other nodes to
	// be told where it is cached.
	minSharedTokens = 2048
)

// partEnd is set in the hash of the last block of each part, and in no other. Prompts
// share whole parts, so it is enough to remember where parts end.
const partEnd = 1

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
		count := (part.Tokens + blockTokens/2) / blockTokens
		for i := range count {
			binary.LittleEndian.PutUint64(link[:8], chain)
			binary.LittleEndian.PutUint64(link[8:16], id)
			binary.LittleEndian.PutUint64(link[16:], uint64(i))
			chain = xxhash.Sum64(link[:]) &^ partEnd
			if i == count-1 {
				chain |= partEnd
			}
			blocks = append(blocks, chain)
		}
	}
	return blocks
}

// sharedBeginning returns the hash at the end of a prompt's first part, if that is
// long, and other parts follow: it is what prompts of many programs begin with.
func sharedBeginning(parts []Part, blocks []uint64) (uint64, bool) {
	if len(parts) < 2 || parts[0].Tokens < minSharedTokens {
		return 0, false
	}
	for _, block := range blocks {
		if block&partEnd != 0 {
			return block, true
		}
	}
	return 0, false
}

// prefixIndex remembers which prompts engines have read, as far as this node has sent
// them or was told. It is a hint: engines forget. Not safe for concurrent use.
type prefixIndex struct {
	engines map[string]*engineParts
}

// engineParts are the ends of parts, in two generations.
type engineParts struct {
	newer, older map[uint64]struct{}
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{engines: make(map[string]*engineParts)}
}

// CachedBlocks implements scheduler.PrefixIndex.
func (p *prefixIndex) CachedBlocks(engine string, blocks []uint64) int {
	known := p.engines[engine]
	if known == nil {
		return 0
	}
	for i := len(blocks) - 1; i >= 0; i-- {
		if blocks[i]&partEnd != 0 && known.has(blocks[i]) {
			return i + 1
		}
	}
	return 0
}

func (p *engineParts) has(end uint64) bool {
	if _, found := p.newer[end]; found {
		return true
	}
	_, found := p.older[end]
	return found
}

// add notes that an engine has read a prompt.
func (p *prefixIndex) add(engine string, blocks []uint64) {
	for _, block := range blocks {
		if block&partEnd != 0 {
			p.addEnd(engine, block)
		}
	}
}

// addEnd notes that an engine has read a prompt up to the end of a part. It reports
// whether that is new.
func (p *prefixIndex) addEnd(engine string, end uint64) bool {
	known := p.engines[engine]
	if known == nil {
		known = &engineParts{newer: make(map[uint64]struct{})}
		p.engines[engine] = known
	}
	fresh := !known.has(end)
	known.newer[end] = struct{}{}
	if len(known.newer) > maxEngineParts/2 {
		known.older, known.newer = known.newer, make(map[uint64]struct{})
	}
	return fresh
}

// keepOnly forgets the engines that are gone.
func (p *prefixIndex) keepOnly(present func(engine string) bool) {
	for engine := range p.engines {
		if !present(engine) {
			delete(p.engines, engine)
		}
	}
}
