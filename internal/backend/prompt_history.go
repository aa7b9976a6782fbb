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

// maxPromptParts bounds how many pieces of memory a prompt is spread over.
const maxPromptParts = 64

// Prompt holds the messages of a model call in the forms that a call needs:
// their JSON for the engine, and the hashes of the rendered text's blocks for
// the scheduler. It never changes: With returns a longer prompt that shares
// the memory of the shorter one, so that a turn of a long conversation costs
// what it adds. A nil Prompt has no messages. Safe for concurrent use.
type Prompt struct {
	messages int
	parts    [][]byte // JSON of the messages, one after the other with commas between
	size     int      // bytes in parts
	rendered int      // bytes of the rendered text
	blocks   []uint64 // as PrefixBlocks returns them
	digest   xxhash.Digest
}

// NewPrompt returns a prompt of the messages.
func NewPrompt(messages ...api.Message) *Prompt {
	return (*Prompt)(nil).With(messages...)
}

// With returns the prompt with further messages at its end.
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

// encode adds a part with the messages' JSON.
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

// render adds rendered text and hashes the blocks that it completes.
func (p *Prompt) render(text string) {
	for len(text) > 0 {
		piece := text[:min(len(text), BlockBytes-p.rendered%BlockBytes)]
		text = text[len(piece):]
		_, _ = p.digest.WriteString(piece) // never fails
		p.rendered += len(piece)
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

// MemoryBytes returns about how much memory the prompt takes.
func (p *Prompt) MemoryBytes() int64 {
	if p == nil {
		return 0
	}
	return int64(p.size + len(p.blocks)*8)
}

// Blocks returns what PrefixBlocks returns for the messages. The caller must
// not change it.
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

// appendJSON adds the pieces of the JSON array to segments.
func (p *Prompt) appendJSON(segments [][]byte) [][]byte {
	segments = append(segments, arrayBegin)
	if p != nil {
		segments = append(segments, p.parts...)
	}
	return append(segments, arrayEnd)
}

// segmentReader reads pieces of memory one after the other without joining
// them first.
type segmentReader struct {
	left [][]byte // what is not read yet; the slices are replaced, their bytes kept
}

func newSegmentReader(segments [][]byte) (content *segmentReader, size int64) {
	for _, segment := range segments {
		size += int64(len(segment))
	}
	return &segmentReader{left: segments}, size
}

// Read implements io.Reader.
func (r *segmentReader) Read(buffer []byte) (int, error) {
	read := 0
	for len(r.left) > 0 && read < len(buffer) {
		copied := copy(buffer[read:], r.left[0])
		read += copied
		r.left[0] = r.left[0][copied:]
		if len(r.left[0]) == 0 {
			r.left = r.left[1:]
		}
	}
	if read == 0 && len(r.left) == 0 {
		return 0, io.EOF
	}
	return read, nil
}
