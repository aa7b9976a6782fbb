package ingress

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// Limits of one answer. A faulty engine may send without an end, also what looks like an answer, until the connection is
// closed. Without limits it would take a process's memory or its processor time, and the client would get bytes
// until its deadline.
const (
	maxAnswerBytes = 8 << 20 // of an answer that is a single body
	maxStreamBytes = 4 << 20 // of all events of an answer
	// maxEvents limits the events with data if the request does not state how many tokens its answer may have.
	maxEvents = 20_000
	// maxEventsWithoutTokens limits the events that carry no token, such as comments. Each is sent to the client at once.
	maxEventsWithoutTokens = 10_000
	// eventsBeyondTokens is how many events may follow those of the tokens: an engine may end its answer with a summary.
	eventsBeyondTokens = 16
)

// Errors of answers that exceed a limit.
var (
	errTooManyEvents            = errors.New("the engine sent more events than the answer has tokens")
	errTooManyEventsWithoutData = errors.New("the engine sent too many events without data")
	errTurnTooLarge             = errors.New("the answer is too large to be recorded with its input")
)

// answerLimit returns how many bytes the body of the request's answer may have.
func (r *request) answerLimit() int64 {
	if r.route.Kind == routing.Stream {
		return maxStreamBytes
	}
	return maxAnswerBytes
}

// limitAnswer limits the body of an engine's answer. It returns an error if the answer states a larger one.
func (r *request) limitAnswer(answer *http.Response) error {
	limit := r.answerLimit()
	if answer.ContentLength > limit && r.http.Method != http.MethodHead {
		return &upstream.LimitError{Place: upstream.Body, Limit: limit}
	}
	answer.Body = upstream.LimitBody(answer.Body, limit)
	return nil
}

// checkEvent returns an error if the answer may not have this event in addition to the earlier ones.
func (s *stream) checkEvent(next event) error {
	if !next.hasData {
		s.eventsWithoutData++
		if s.eventsWithoutData > maxEventsWithoutTokens {
			return errTooManyEventsWithoutData
		}
		return nil
	}
	if s.events >= s.maxEvents() {
		return errTooManyEvents
	}
	if s.request.route.Retain && s.recordedInput()+len(s.output)+len(next.data) >= ledger.MaxTurnBytes {
		return errTurnTooLarge
	}
	return nil
}

// recordedInput returns how many bytes of the input are recorded together with the output.
func (s *stream) recordedInput() int {
	if ledger.IsLongInput(len(s.input)) {
		return 0
	}
	return len(s.input)
}

// maxEvents returns how many events with data the answer may have.
func (s *stream) maxEvents() int64 {
	maxTokens, perEvent := s.request.call.MaxTokens, s.tokensPerEvent()
	if maxTokens <= 0 {
		return maxEvents
	}
	return (maxTokens+perEvent-1)/perEvent + eventsBeyondTokens
}
