package engine

import (
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
)

var answerWords = []string{
	"account", "balance", "clip", "deduction", "entry", "filing", "goal", "half",
	"invoice", "ledger", "match", "notes", "period", "receipt", "replay", "total",
}

// Answer returns the stand-in's answer to the messages: words chosen by the
// prompt's hash, between half and one and a half times typicalTokens long,
// then the number of messages and the hash of the whole prompt. An answer
// over maxTokens loses words first, then the end of the ending.
func Answer(messages []api.Message, maxTokens, typicalTokens int64) string {
	hash := xxhash.Sum64String(backend.RenderPrompt(messages))
	random := rand.New(rand.NewPCG(hash, hash))
	ending := AnswerEnding(messages)
	tokens := min(typicalTokens/2+random.Int64N(typicalTokens+1), maxTokens)
	limit := max(int(tokens)*backend.BytesPerToken, min(len(ending), int(maxTokens)*backend.BytesPerToken))
	var text strings.Builder
	for text.Len()+len(ending) < limit {
		word := answerWords[random.IntN(len(answerWords))]
		text.WriteString(word)
		text.WriteByte(' ')
	}
	words := text.String()[:min(text.Len(), max(limit-len(ending), 0))]
	return words + ending[:min(len(ending), limit)]
}

// AnswerEnding returns the ending of an uncut answer. It shows whether the
// engine got the expected history.
func AnswerEnding(messages []api.Message) string {
	hash := xxhash.Sum64String(backend.RenderPrompt(messages))
	return fmt.Sprintf("[%d messages, %08x]", len(messages), uint32(hash))
}
