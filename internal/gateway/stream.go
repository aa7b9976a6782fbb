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

// answerStream sends a call's output to its caller as it comes. Parts are
// gathered without blocking whoever delivers them; a goroutine writes them, so
// that a slow caller holds up only itself. A part whose offset is lower than
// what the caller has replaces the output from there on, so the parts together
// always end as the result's output.
type answerStream struct {
	events *httpapi.EventWriter
	cancel context.CancelFunc // ends the call when the caller cannot be written to
	wake   chan struct{}      // holds a token when there may be something to send
	done   chan struct{}      // closed when the writer goroutine has ended

	mutex    sync.Mutex
	output   []byte // all text so far
	sent     int    // bytes of output that the caller has
	rewound  bool   // the caller has more than sent, which the next part replaces
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
	go s.run()
	return s
}

// part takes text at a byte offset of the output. A part beyond a gap is
// dropped; the rest then comes with the result.
func (s *answerStream) part(offset int64, text []byte) {
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

// replaceFrom makes text the output from offset on, keeping what is the same.
// A repeated part, or one that is all known, changes nothing.
func (s *answerStream) replaceFrom(offset int, text []byte) {
	known := s.output[offset:]
	common := commonPrefix(known, text)
	if common == len(text) {
		return
	}
	if common == len(known) {
		s.output = append(s.output, text[common:]...)
		return
	}
	s.truncate(offset + common)
	s.output = append(s.output, text[common:]...)
}

// truncate drops the output from end on; the caller learns it by the offset
// of the next part.
func (s *answerStream) truncate(end int) {
	start := characterStart(s.output, end)
	if s.sent > start {
		s.sent = start
		s.rewound = true
	}
	s.output = s.output[:end]
}

func (s *answerStream) run() {
	defer close(s.done)
	for range s.wake {
		part, due := s.next(false)
		if !due {
			continue
		}
		if err := s.events.Send(eventPart, part); err != nil {
			s.cancel()
			return
		}
	}
}

// next takes what is to be sent now. Unless whole, a character of which only
// the first bytes are there waits for the rest.
func (s *answerStream) next(whole bool) (api.StreamPart, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	end := len(s.output)
	if !whole {
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

// stop ends the writer goroutine and waits for it. Later parts are dropped.
func (s *answerStream) stop() {
	s.stopOnce.Do(func() {
		s.mutex.Lock()
		s.stopped = true
		s.mutex.Unlock()
		close(s.wake)
	})
	<-s.done
}

// started reports whether the caller has got a status; valid after stop.
func (s *answerStream) started() bool { return s.events.Started() }

// finish sends what is missing of the output, then the result; call it after
// stop. Write errors are ignored: the caller is gone, and can ask again.
func (s *answerStream) finish(result api.CallResult) {
	if result.Code == api.OK {
		s.reconcile([]byte(result.Output))
	}
	if part, due := s.next(true); due {
		_ = s.events.Send(eventPart, part)
	}
	_ = s.events.Send(eventResult, result)
}

// reconcile makes the result's output, which is the recorded one, the text
// that the parts add up to.
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

// characterStart returns the largest index, at most end, at which no UTF-8
// character is cut.
func characterStart(text []byte, end int) int {
	for end > 0 && end < len(text) && !utf8.RuneStart(text[end]) {
		end--
	}
	return end
}

// completeEnd returns the length of text without an unfinished character at
// its end.
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
