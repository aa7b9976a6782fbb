package engine

import (
	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
)

// maxEndedStreams is how many ended streams are retained for resuming.
const maxEndedStreams = 4096

// stream is the answer to one request. The whole text is computed in advance
// and is readable up to ready.
type stream struct {
	request  backend.WireChatRequest
	text     string
	ready    int    // bytes decoded so far
	finish   string // finish reason; empty while in progress
	usage    api.Usage
	logIndex int           // of its execution in the log, or -1
	changed  chan struct{} // closed and replaced at each change
}

func (s *stream) startEntry(event Event) LogEntry {
	return LogEntry{
		RequestID:    s.request.RequestID,
		Program:      s.request.Program,
		Epoch:        s.request.Epoch,
		Model:        s.request.Model,
		Priority:     s.request.Priority,
		Started:      event.At,
		PromptTokens: event.PromptTokens,
		CachedTokens: event.CachedTokens,
		WastedTokens: event.WastedTokens,
	}
}

// streamTable holds streams by request id, including the newest ended ones,
// which can be resumed. The engine's mutex guards it.
type streamTable struct {
	byID   map[string]*stream
	active map[string]*stream
	ended  []string // oldest first
}

func newStreamTable() *streamTable {
	return &streamTable{byID: map[string]*stream{}, active: map[string]*stream{}}
}

func (t *streamTable) get(id string) *stream { return t.byID[id] }

func (t *streamTable) add(request backend.WireChatRequest, text string) *stream {
	added := &stream{request: request, text: text, logIndex: -1, changed: make(chan struct{})}
	t.byID[request.RequestID] = added
	t.active[request.RequestID] = added
	return added
}

// remove drops a stream.
func (t *streamTable) remove(id string) {
	delete(t.byID, id)
	delete(t.active, id)
}

// addCancelled records that a request was cancelled before it arrived, so
// that it is refused when it arrives.
func (t *streamTable) addCancelled(id string) {
	tombstone := t.add(backend.WireChatRequest{RequestID: id}, "")
	t.end(tombstone, Event{Kind: EventCancelled})
}

// publishDecoded makes the text readable that the model has decoded.
func (t *streamTable) publishDecoded(decoded func(id string) (int64, bool)) {
	for id, entry := range t.active {
		tokens, running := decoded(id)
		ready := min(int(tokens)*backend.BytesPerToken, len(entry.text))
		if running && ready > entry.ready {
			entry.ready = ready
			entry.notify()
		}
	}
}

// end closes a stream according to its last event.
func (t *streamTable) end(entry *stream, event Event) {
	entry.usage = api.Usage{
		PromptTokens:     event.PromptTokens,
		CachedTokens:     event.CachedTokens,
		CompletionTokens: event.AnswerTokens,
	}
	entry.finish = backend.FinishCancelled
	if event.Kind == EventFinished {
		entry.ready = len(entry.text)
		entry.finish = backend.FinishStop
		if event.AnswerTokens >= entry.request.MaxTokens {
			entry.finish = backend.FinishLength
		}
	}
	entry.notify()
	delete(t.active, entry.request.RequestID)
	t.retain(entry.request.RequestID)
}

// retain records an ended stream and drops the oldest above maxEndedStreams.
func (t *streamTable) retain(id string) {
	t.ended = append(t.ended, id)
	if len(t.ended) > maxEndedStreams {
		delete(t.byID, t.ended[0])
		t.ended = t.ended[1:]
	}
}

func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
