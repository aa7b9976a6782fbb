package ownership

import (
	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/program"
)

// tokensPerPrice is the number of tokens that a price in the bundle applies to.
const tokensPerPrice = 1_000_000

// messageOverheadTokens bounds the tokens that one message adds to its content.
const messageOverheadTokens = 8

// nextDeltaTokens is the length of the new messages that the reservation for a
// program's next model call allows for.
const nextDeltaTokens = 2048

func maxTokens(model *bundle.Model, request api.CallRequest) int64 {
	if request.MaxTokens > 0 {
		return request.MaxTokens
	}
	if model.DefaultMaxTokens > 0 {
		return model.DefaultMaxTokens
	}
	return defaultMaxTokens
}

// maxPromptTokens returns the maximum number of tokens that the prompt can be
// billed for: the history as billed before, and at most one token per byte of
// the new messages.
func maxPromptTokens(header program.Header, request api.CallRequest) int64 {
	bound := header.HistoryTokens + messageOverheadTokens
	for _, message := range request.Messages {
		bound += int64(len(message.Role)+len(message.Content)) + messageOverheadTokens
	}
	return bound
}

// estimateNewTokens returns the likely number of new prompt tokens.
func estimateNewTokens(request api.CallRequest) int64 {
	bytes := 0
	for _, message := range request.Messages {
		bytes += len(message.Role) + len(message.Content) + len("\n\n")
	}
	return backend.EstimateTokens(bytes)
}

// maxModelCost returns the maximum cost of a model call: no prompt token is
// cached, and every allowed token is generated.
func maxModelCost(model *bundle.Model, promptTokens, completionTokens int64) api.Credits {
	prompt := max(model.PromptPrice, model.CachedPrice)
	return roundUp(promptTokens*int64(prompt) + completionTokens*int64(model.CompletionPrice))
}

// billedCost returns the cost of a model call by the engine's token counts.
func billedCost(model *bundle.Model, usage api.Usage) api.Credits {
	uncached := (usage.PromptTokens - usage.CachedTokens) * int64(model.PromptPrice)
	cached := usage.CachedTokens * int64(model.CachedPrice)
	completion := usage.CompletionTokens * int64(model.CompletionPrice)
	return roundUp(uncached + cached + completion)
}

// roundUp converts a sum of tokens times price per million into whole credits, rounded up.
func roundUp(total int64) api.Credits {
	return api.Credits((total + tokensPerPrice - 1) / tokensPerPrice)
}
