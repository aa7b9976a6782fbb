package gateway

import (
	"context"
	"net/http"
	"sync"
	"unicode/utf8"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/httpapi"
)

// Names of server-sent events.
const (
	eventPart    = "part"
	eventResult  = "result"
	eventProblem = "problem"
)

// answerStream sends a call's output to its caller as it is produced. Parts are
// buffered without blocking the goroutine that delivers them, and another
// goroutine writes them, so a slow caller delays only itself. A part whose
// offset is lower than what the caller has received replaces the output from
// there on, so the parts together always add up to the result's output.
type answerStream struct {
	events *httpapi.EventWriter
	cancel context.CancelFunc // ends the call when writing to the caller fails
	wake   chan struct{}      // holds a token when there may be something to send
	done   chan struct{}      // closed when the writer goroutine has ended

	mutex    sync.Mutex
	output   []byte // all text so far
	sent     int    // bytes of output that the caller has received
	rewound  bool   // the caller has received more than sent; the next part replaces the rest
	stopped  bool
	stopOnce sync.Once
}

func startAnswerStream(writer http.ResponseWriter, cancel context.CancelFunc) *answerStream {
	s := &answerStream{
		events: httpapi.NewEventWriter(writer),
		cancel: cancel,
		wake:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	go s.writeParts()
	return s
}

// addPart adds text at a byte offset of the output. A part beyond a gap is
// dropped; the missing text is then sent with the result.
func (s *answerStream) addPart(offset int64, text []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.stopped || offset < 0 || offset > int64(len(s.output)) {
		return
	}
	s.replaceFrom(int(offset), text)
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// replaceFrom replaces the output from offset on by text, keeping the common
// prefix. A part that only repeats present text changes nothing.
func (s *answerStream) replaceFrom(offset int, text []byte) {
	existing := s.output[offset:]
	common := commonPrefix(existing, text)
	if common == len(text) {
		return
	}
	if common == len(existing) {
		s.output = append(s.output, text[common:]...)
		return
	}
	s.truncate(offset + common)
	s.output = append(s.output, text[common:]...)
}

// truncate drops the output from end on; the caller learns it from the
// offset of the next part.
func (s *answerStream) truncate(end int) {
	start := characterStart(s.output, end)
	if s.sent > start {
		s.sent = start
		s.rewound = true
	}
	s.output = s.output[:end]
}

func (s *answerStream) writeParts() {
	defer close(s.done)
	for range s.wake {
		part, due := s.nextPart(false)
		if !due {
			continue
		}
		if err := s.events.Send(eventPart, part); err != nil {
			s.cancel()
			return
		}
	}
}

// nextPart returns the part to send now, and whether there is one. Unless final,
// an incomplete character at the end is held back until the rest of it arrives.
func (s *answerStream) nextPart(final bool) (api.StreamPart, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	end := len(s.output)
	if !final {
		end = completeEnd(s.output)
	}
	end = max(end, s.sent)
	if end == s.sent && !s.rewound {
		return api.StreamPart{}, false
	}
	part := api.StreamPart{Offset: int64(s.sent), Text: string(s.output[s.sent:end])}
	s.sent = end
	s.rewound = false
	return part, true
}

// stop ends the writer goroutine and waits for its end. Later parts are dropped.
func (s *answerStream) stop() {
	s.stopOnce.Do(func() {
		s.mutex.Lock()
		s.stopped = true
		s.mutex.Unlock()
		close(s.wake)
	})
	<-s.done
}

// started reports whether a status has been sent to the caller; valid after stop.
func (s *answerStream) started() bool { return s.events.Started() }

// finish sends the missing output, then the result; call it after stop. Write
// errors are ignored: the client has disconnected, and can send the request again.
func (s *answerStream) finish(result api.CallResult) {
	if result.Code == api.OK {
		s.reconcile([]byte(result.Output))
	}
	if part, due := s.nextPart(true); due {
		_ = s.events.Send(eventPart, part)
	}
	_ = s.events.Send(eventResult, result)
}

// reconcile changes the text that the parts add up to into the result's output,
// which is the recorded one.
func (s *answerStream) reconcile(output []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	common := commonPrefix(s.output, output)
	if common < len(s.output) {
		s.truncate(common)
	}
	s.output = append(s.output, output[common:]...)
}

// fail ends a started stream with a problem; call it after stop.
func (s *answerStream) fail(problem *api.Error) {
	_ = s.events.Send(eventProblem, problem.Problem())
}

func commonPrefix(a, b []byte) int {
	limit := min(len(a), len(b))
	for index := range limit {
		if a[index] != b[index] {
			return index
		}
	}
	return limit
}

// characterStart returns the largest index, at most end, that does not split a
// UTF-8 character.
func characterStart(text []byte, end int) int {
	for end > 0 && end < len(text) && !utf8.RuneStart(text[end]) {
		end--
	}
	return end
}

// completeEnd returns the length of text without an incomplete character at its
// end.
func completeEnd(text []byte) int {
	for back := 1; back <= min(utf8.UTFMax-1, len(text)); back++ {
		start := len(text) - back
		if !utf8.RuneStart(text[start]) {
			continue
		}
		if utf8.FullRune(text[start:]) {
			return len(text)
		}
		return start
	}
	return len(text)
}
