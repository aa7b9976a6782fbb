package ownership

import (
	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/program"
)

// pricePer is the number of tokens that a price in the bundle is for.
const pricePer = 1_000_000

// overheadTokens bounds what one message adds besides its content.
const overheadTokens = 8

// nextDeltaTokens is the length of a new message that the standing
// reservation for a program's next model call allows for.
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

// promptBound is the most tokens that the prompt can be billed for: the
// history as billed before, and at most one token per byte of what is new.
func promptBound(header program.Header, request api.CallRequest) int64 {
	bound := header.HistoryTokens + overheadTokens
	for _, message := range request.Messages {
		bound += int64(len(message.Role)+len(message.Content)) + overheadTokens
	}
	return bound
}

// estimate is the likely number of new prompt tokens.
func estimate(request api.CallRequest) int64 {
	bytes := 0
	for _, message := range request.Messages {
		bytes += len(message.Role) + len(message.Content) + len("\n\n")
	}
	return backend.EstimateTokens(bytes)
}

// dearest is the most that a model call can cost: nothing found in cache and
// every allowed token generated.
func dearest(model *bundle.Model, promptTokens, completionTokens int64) api.Credits {
	prompt := max(model.PromptPrice, model.CachedPrice)
	return roundUp(promptTokens*int64(prompt) + completionTokens*int64(model.CompletionPrice))
}

// billed is what a model call costs by the engine's count.
func billed(model *bundle.Model, usage api.Usage) api.Credits {
	fresh := (usage.PromptTokens - usage.CachedTokens) * int64(model.PromptPrice)
	cached := usage.CachedTokens * int64(model.CachedPrice)
	completion := usage.CompletionTokens * int64(model.CompletionPrice)
	return roundUp(fresh + cached + completion)
}

// roundUp turns tokens times price per million into whole credits.
func roundUp(total int64) api.Credits {
	return api.Credits((total + pricePer - 1) / pricePer)
}
