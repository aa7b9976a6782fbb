package backend

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/api"
)

// RenderPrompt returns the text that an engine processes for the messages: for each message its role,
// a newline, its content and a newline.
func RenderPrompt(messages []api.Message) string {
	size := 0
	for _, message := range messages {
		size += len(message.Role) + len(message.Content) + 2
	}
	var prompt strings.Builder
	prompt.Grow(size)
	for _, message := range messages {
		prompt.WriteString(message.Role)
		prompt.WriteByte('\n')
		prompt.WriteString(message.Content)
		prompt.WriteByte('\n')
	}
	return prompt.String()
}

// PrefixBlocks returns one hash for each complete block of BlockBytes of the rendered prompt. Each hash
// is the xxhash64 of the prompt from its start to that block's end, so that equal hashes mean equal
// prefixes. An incomplete last block has no hash.
func PrefixBlocks(messages []api.Message) []uint64 {
	return RenderedPrefixBlocks(RenderPrompt(messages))
}

// RenderedPrefixBlocks is PrefixBlocks for a prompt that is already rendered.
func RenderedPrefixBlocks(prompt string) []uint64 {
	blocks := make([]uint64, 0, len(prompt)/BlockBytes)
	var digest xxhash.Digest
	digest.Reset()
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		_, _ = digest.WriteString(prompt[end-BlockBytes : end])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// EstimateTokens returns the estimated number of tokens of a text of this many bytes, rounded up.
func EstimateTokens(bytes int) int64 {
	return (int64(bytes) + BytesPerToken - 1) / BytesPerToken
}

// TextDigest returns the xxhash64 of a text as 16 hexadecimal digits.
func TextDigest(text string) string {
	return fmt.Sprintf("%016x", xxhash.Sum64String(text))
}
