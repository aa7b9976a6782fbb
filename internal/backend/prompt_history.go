package backend

import (
	"bytes"
	"encoding/json"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

// maxPromptParts is the maximum number of separate buffers of a prompt.
const maxPromptParts = 64

// Prompt holds the messages of a model call in the forms that a call needs: their JSON for the engine,
// and the hashes of the rendered text's blocks for the scheduler. A Prompt is immutable: With returns a
// longer prompt that shares the memory of the shorter one, so that a turn of a long conversation costs
// only what it adds. A nil Prompt has no messages. Safe for concurrent use.
type Prompt struct {
	messages int
	parts    [][]byte // JSON of the messages in order, separated by commas
	size     int      // bytes in parts
	rendered int      // bytes of the rendered text
	blocks   []uint64 // as PrefixBlocks returns them
	digest   xxhash.Digest
}

// NewPrompt returns a prompt of the messages.
func NewPrompt(messages ...api.Message) *Prompt {
	return (*Prompt)(nil).With(messages...)
}

// With returns the prompt with the messages appended.
func (p *Prompt) With(messages ...api.Message) *Prompt {
	longer := &Prompt{}
	if p == nil {
		longer.digest.Reset()
	} else {
		*longer = *p
	}
	longer.encode(messages)
	longer.blocks = slices.Clip(longer.blocks)
	for _, message := range messages {
		longer.render(message.Role)
		longer.render("\n")
		longer.render(message.Content)
		longer.render("\n")
	}
	longer.messages += len(messages)
	return longer
}

// encode appends a part with the messages' JSON.
func (p *Prompt) encode(messages []api.Message) {
	if len(messages) == 0 {
		return
	}
	var part bytes.Buffer
	encoder := json.NewEncoder(&part)
	encoder.SetEscapeHTML(false)
	for i, message := range messages {
		if p.messages+i > 0 {
			part.WriteByte(',')
		}
		if err := encoder.Encode(message); err != nil {
			panic(errors.NewAssertionErrorWithWrappedErrf(err, "encode message")) // two strings always encode
		}
	}
	p.size += part.Len()
	p.parts = append(slices.Clip(p.parts), part.Bytes())
	if len(p.parts) > maxPromptParts {
		p.parts = [][]byte{bytes.Join(p.parts, nil)}
	}
}

// render appends rendered text and hashes the blocks that it completes.
func (p *Prompt) render(text string) {
	for len(text) > 0 {
		chunk := text[:min(len(text), BlockBytes-p.rendered%BlockBytes)]
		text = text[len(chunk):]
		_, _ = p.digest.WriteString(chunk) // never fails
		p.rendered += len(chunk)
		if p.rendered%BlockBytes == 0 {
			p.blocks = append(p.blocks, p.digest.Sum64())
		}
	}
}

// Messages returns how many messages the prompt has.
func (p *Prompt) Messages() int {
	if p == nil {
		return 0
	}
	return p.messages
}

// RenderedBytes returns the length of the rendered text.
func (p *Prompt) RenderedBytes() int {
	if p == nil {
		return 0
	}
	return p.rendered
}

// MemoryBytes returns the approximate memory of the prompt in bytes.
func (p *Prompt) MemoryBytes() int64 {
	if p == nil {
		return 0
	}
	return int64(p.size + len(p.blocks)*8)
}

// Blocks returns the result of PrefixBlocks for the messages. The caller must not modify it.
func (p *Prompt) Blocks() []uint64 {
	if p == nil {
		return nil
	}
	return p.blocks
}

// Delimiters of a JSON array.
var (
	arrayBegin = []byte("[")
	arrayEnd   = []byte("]")
)

// JSON returns a reader of the messages as a JSON array, and its length.
func (p *Prompt) JSON() (content io.Reader, size int64) {
	return newSegmentReader(p.appendJSON(nil))
}

// appendJSON appends the buffers of the JSON array to segments.
func (p *Prompt) appendJSON(segments [][]byte) [][]byte {
	segments = append(segments, arrayBegin)
	if p != nil {
		segments = append(segments, p.parts...)
	}
	return append(segments, arrayEnd)
}

// segmentReader reads buffers one after the other without concatenating them.
type segmentReader struct {
	unread [][]byte // remaining buffers; the slice is modified, the buffers' content is not
}

func newSegmentReader(segments [][]byte) (content *segmentReader, size int64) {
	for _, segment := range segments {
		size += int64(len(segment))
	}
	return &segmentReader{unread: segments}, size
}

// Read implements io.Reader.
func (r *segmentReader) Read(buffer []byte) (int, error) {
	read := 0
	for len(r.unread) > 0 && read < len(buffer) {
		copied := copy(buffer[read:], r.unread[0])
		read += copied
		r.unread[0] = r.unread[0][copied:]
		if len(r.unread[0]) == 0 {
			r.unread = r.unread[1:]
		}
	}
	if read == 0 && len(r.unread) == 0 {
		return 0, io.EOF
	}
	return read, nil
}
