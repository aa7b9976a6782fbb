package backend

import (
	"bytes"
	"encoding/json"
	"io"
)

// chatFields are the fields of WireChatRequest other than the messages.
type chatFields struct {
	Model     string `json:"model"`
	Adapter   string `json:"adapter,omitempty"`
	MaxTokens int64  `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Program   string `json:"program"`
	RequestID string `json:"request_id"`
	Epoch     uint64 `json:"epoch"`
	Priority  int    `json:"priority"`
}

// chatBody is the JSON of a WireChatRequest, assembled without copying the prompt.
type chatBody struct {
	fields []byte // an object without its closing brace
	prompt *Prompt
}

// chatBodySegments is the number of segments of a body in addition to the prompt's parts.
const chatBodySegments = 5

var (
	chatMessagesField = []byte(`,"messages":`)
	chatBodyEnd       = []byte("}")
)

func newChatBody(request ChatRequest) (*chatBody, error) {
	fields, err := json.Marshal(chatFields{
		Model:     request.Model,
		Adapter:   request.Adapter,
		MaxTokens: request.MaxTokens,
		Stream:    true,
		Program:   request.Program,
		RequestID: request.RequestID,
		Epoch:     request.Epoch,
		Priority:  request.Priority,
	})
	if err != nil {
		return nil, err
	}
	return &chatBody{fields: bytes.TrimSuffix(fields, chatBodyEnd), prompt: request.Prompt}, nil
}

// open returns a reader of the whole body and its length.
func (b *chatBody) open() (content io.Reader, size int64) {
	segments := make([][]byte, 0, maxPromptParts+chatBodySegments)
	segments = append(segments, b.fields, chatMessagesField)
	segments = b.prompt.appendJSON(segments)
	return newSegmentReader(append(segments, chatBodyEnd))
}
