package simulation

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// prompt is a prompt without its text: the chained hashes of its complete
// blocks, as backend.PrefixBlocks would compute them from text. Prompts that
// append the same contents in the same order have the same blocks. A prompt is
// immutable; append returns a new one.
type prompt struct {
	blocks []uint64
	chain  uint64 // hash of all contents so far
	tokens int64
}

// append returns the prompt with the given number of tokens of a content appended.
func (p prompt) append(content uint64, tokens int64) prompt {
	extended := prompt{blocks: slices.Clip(p.blocks), chain: p.chain, tokens: p.tokens}
	for appended := int64(0); appended < tokens; {
		free := engine.BlockTokens - extended.tokens%engine.BlockTokens
		chunk := min(free, tokens-appended)
		appended += chunk
		extended.tokens += chunk
		extended.chain = hashOf(extended.chain, content, uint64(appended))
		if chunk == free {
			extended.blocks = append(extended.blocks, extended.chain)
		}
	}
	return extended
}

// hashOf combines numbers into one hash.
func hashOf(numbers ...uint64) uint64 {
	var buffer [8 * 4]byte
	encoded := buffer[:0]
	for _, number := range numbers {
		encoded = binary.LittleEndian.AppendUint64(encoded, number)
	}
	return xxhash.Sum64(encoded)
}
