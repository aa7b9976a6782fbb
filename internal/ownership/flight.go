package ownership

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
)

// flight is one call in flight. Any number of callers may join it.
type flight struct {
	sequence int64
	digest   string
	request  api.CallRequest
	call     program.Call
	cancel   context.CancelFunc
	// unrecorded is set once the call has ended and its result will not be
	// recorded here. It is set while the program's commit lock is held.
	unrecorded atomic.Bool

	mutex sync.Mutex
	text  []byte // streamed so far
	// generation is incremented when streamed text is replaced because another attempt runs.
	generation    int
	changed       chan struct{} // closed at the next change; nil while nobody waits
	pendingRecord *api.Error    // set while the result waits for the table service
	done          chan struct{}
	result        api.CallResult // valid once done is closed, if err is nil
	err           error          // valid once done is closed: *api.Error or *MovedError
}

func newFlight(sequence int64, digest string, cancel context.CancelFunc) *flight {
	return &flight{
		sequence: sequence,
		digest:   digest,
		cancel:   cancel,
		done:     make(chan struct{}),
	}
}

// write adds streamed text. A lower offset replaces the text after it.
func (f *flight) write(offset int64, text string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if offset > int64(len(f.text)) {
		return
	}
	if offset < int64(len(f.text)) {
		f.generation++
		f.text = f.text[:offset:offset] // readers may still use the text after offset
	}
	f.text = append(f.text, text...)
	f.wake()
}

// wake wakes all waiters for a change. The caller holds the mutex.
func (f *flight) wake() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// setPendingRecord notifies waiting callers that the result cannot be recorded now.
func (f *flight) setPendingRecord(reason *api.Error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.pendingRecord = reason
	f.wake()
}

// isRecordPending reports whether the result waits for the table service.
func (f *flight) isRecordPending() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.pendingRecord != nil
}

// finish ends the flight. It must be called exactly once.
func (f *flight) finish(result api.CallResult, err error) {
	f.result = result
	f.err = err
	close(f.done)
}

// progress is the next part of a flight for one reader.
type progress struct {
	text          []byte // after the reader's offset
	generation    int
	pendingRecord *api.Error
	changed       <-chan struct{} // closes at the next change
}

// after returns the progress after the bytes that the reader has received, or
// all of it if the text has been replaced since.
func (f *flight) after(sent, generation int) progress {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if generation != f.generation {
		sent = 0
	}
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return progress{
		text:          f.text[sent:len(f.text):len(f.text)],
		generation:    f.generation,
		pendingRecord: f.pendingRecord,
		changed:       f.changed,
	}
}

// follow streams to one caller until the flight ends, ctx ends, or the result
// cannot be recorded for the time being.
func (f *flight) follow(ctx context.Context, onPart func(offset int64, text []byte)) (api.CallResult, error) {
	sent := 0
	generation := 0
	for {
		finished := f.isDone()
		next := f.after(sent, generation)
		if next.generation != generation {
			sent = 0
			generation = next.generation
		}
		if onPart != nil && len(next.text) > 0 {
			onPart(int64(sent), next.text)
		}
		sent += len(next.text)
		if finished {
			return f.result, f.err
		}
		if next.pendingRecord != nil {
			return api.CallResult{}, next.pendingRecord
		}
		select {
		case <-f.done:
		case <-next.changed:
		case <-ctx.Done():
			return api.CallResult{}, api.Errorf(api.CallPending, "the call is in flight; repeat the request").WithRetryAfter(movingRetryAfter)
		}
	}
}

func (f *flight) isDone() bool {
	select {
	case <-f.done:
		return true
	default:
		return false
	}
}
