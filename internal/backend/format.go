package backend

import (
	"encoding/json"
	"net/http"

	"github.com/pewtermill/pewtermill/api"
)

// Codes in the error bodies of back ends. Those of the first group mean that the back end did not run
// the call.
const (
	WireRefused      = "refused"
	WireLeaving      = "leaving"
	WireFenced       = "fenced"
	WireOverloaded   = "overloaded"
	WireUnknownModel = "unknown_model"
	WireUnknownTool  = "unknown_tool"
	WireInvalid      = "invalid_request"
	WireTooLarge     = "too_large"
	// WireDuplicate means that the request id was used or cancelled before;
	// it implies nothing about that earlier request.
	WireDuplicate = "duplicate_request"
	// WireNoRecord and WireRunning are results of a lookup; WireRunning means that the call has
	// started and has no outcome yet.
	WireNoRecord = "no_record"
	WireRunning  = "running"
	// WireUnknownStream is the response to a resume or cancel of a stream that the engine does not have.
	WireUnknownStream = "unknown_stream"
)

// WireError is the body of every response that is not 2xx.
type WireError struct {
	Error WireErrorDetail `json:"error"`
}

// WireErrorDetail is an error's code and message.
type WireErrorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// WireChatRequest is the body of POST /v1/chat/completions.
type WireChatRequest struct {
	Model     string        `json:"model"`
	Adapter   string        `json:"adapter,omitempty"`
	Messages  []api.Message `json:"messages"`
	MaxTokens int64         `json:"max_tokens"`
	Stream    bool          `json:"stream"`
	Program   string        `json:"program"`
	RequestID string        `json:"request_id"`
	Epoch     uint64        `json:"epoch"`
	Priority  int           `json:"priority"`
}

// WireChatChunk is one server-sent event of a chat stream. Offset is the byte offset of the choice's
// content in the whole response. The last chunk has a finish reason, Usage and Digest.
type WireChatChunk struct {
	ID      string           `json:"id"`
	Object  string           `json:"object"`
	Offset  int64            `json:"offset"`
	Choices []WireChoice     `json:"choices,omitempty"`
	Usage   *WireUsage       `json:"usage,omitempty"`
	Digest  string           `json:"digest,omitempty"`
	Error   *WireErrorDetail `json:"error,omitempty"`
}

// WireChoice is the only choice of a chunk.
type WireChoice struct {
	Index        int       `json:"index"`
	Delta        WireDelta `json:"delta"`
	FinishReason string    `json:"finish_reason,omitempty"`
}

// WireDelta is a chunk of the response's text.
type WireDelta struct {
	Content string `json:"content"`
}

// WireUsage counts tokens as OpenAI-style engines do.
type WireUsage struct {
	PromptTokens        int64            `json:"prompt_tokens"`
	CompletionTokens    int64            `json:"completion_tokens"`
	PromptTokensDetails WirePromptDetail `json:"prompt_tokens_details"`
}

// WirePromptDetail reports how many prompt tokens were found in the prefix cache.
type WirePromptDetail struct {
	CachedTokens int64 `json:"cached_tokens"`
}

// Finish reasons of a chat stream.
const (
	FinishStop      = "stop"
	FinishLength    = "length"
	FinishCancelled = "cancelled"
)

// StreamEnd is the data of the event after a stream's last chunk.
const StreamEnd = "[DONE]"

// WireHolds is the response to GET /holds.
type WireHolds struct {
	Programs []string `json:"programs"`
}

// WireToolRequest is the body of POST /run.
type WireToolRequest struct {
	Tool           string          `json:"tool"`
	IdempotencyKey string          `json:"idempotency_key"`
	Epoch          uint64          `json:"epoch"`
	Input          json.RawMessage `json:"input,omitempty"`
}

// WireToolResult is the response to POST /run and GET /outcome.
type WireToolResult struct {
	Result json.RawMessage `json:"result"`
	Failed bool            `json:"failed"`
}

// WriteJSON writes an HTTP response with a JSON body.
func WriteJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body) // fails only if the client has disconnected
}

// WriteError writes an HTTP response with a WireError.
func WriteError(writer http.ResponseWriter, status int, code, message string) {
	WriteJSON(writer, status, WireError{Error: WireErrorDetail{Code: code, Message: message}})
}
