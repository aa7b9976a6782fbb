package simulation

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// prompt is a prompt without its text: the chained hashes of its whole
// blocks, as backend.PrefixBlocks would compute them from text. Prompts that
// append the same contents in the same order have the same blocks. A prompt
// never changes; append returns a new one.
type prompt struct {
	blocks []uint64
	chain  uint64 // hash of everything so far
	tokens int64
}

// append returns the prompt with some tokens of a content after it.
func (p prompt) append(content uint64, tokens int64) prompt {
	longer := prompt{blocks: slices.Clip(p.blocks), chain: p.chain, tokens: p.tokens}
	for taken := int64(0); taken < tokens; {
		room := engine.BlockTokens - longer.tokens%engine.BlockTokens
		piece := min(room, tokens-taken)
		taken += piece
		longer.tokens += piece
		longer.chain = hashOf(longer.chain, content, uint64(taken))
		if piece == room {
			longer.blocks = append(longer.blocks, longer.chain)
		}
	}
	return longer
}

// hashOf mixes numbers into one.
func hashOf(numbers ...uint64) uint64 {
	var buffer [8 * 4]byte
	encoded := buffer[:0]
	for _, number := range numbers {
		encoded = binary.LittleEndian.AppendUint64(encoded, number)
	}
	return xxhash.Sum64(encoded)
}
