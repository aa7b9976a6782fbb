package carry

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// errDeclined means that a peer accepts no requests now, for any engine. It is marked ErrNotRun as
// well.
var errDeclined = errors.New("declined")

// errClosed is the cause of cancelling an exchange whose answer was closed by its reader.
var errClosed = errors.New("the reader closed the answer")

// exchange is one request at a peer. Its goroutine handles the parts of the answer and
// waits for the reader, so that a slow reader slows the peer down.
type exchange struct {
	ctx      context.Context
	cancel   context.CancelCauseFunc
	alive    func() bool // asks the peer whether it runs, once its acknowledgement is overdue; nil to give up then
	unhook   func() bool
	start    time.Time
	ackNanos atomic.Int64        // time until the peer's acknowledgement, in ns; 0 if there was none
	heads    chan *http.Response // the answer, once its head has arrived
	ended    chan struct{}       // closed at the end of the exchange
	err      error               // nil if the answer is complete; valid once ended is closed
	// cancelled is whether the exchange was cancelled before its end; valid once ended is closed.
	cancelled bool

	hasHead bool // used by the exchange's goroutine only
	dropped bool // a piece of the body found no reader; used by the exchange's goroutine only
	reader  *io.PipeReader
	writer  *io.PipeWriter
}

func newExchange(ctx context.Context) *exchange {
	e := &exchange{start: time.Now(), heads: make(chan *http.Response, 1), ended: make(chan struct{})}
	e.ctx, e.cancel = context.WithCancelCause(ctx)
	e.reader, e.writer = io.Pipe()
	e.unhook = context.AfterFunc(e.ctx, func() {
		// Unblocks the reader, and the goroutine if it has a part for the reader.
		_ = e.writer.CloseWithError(context.Cause(e.ctx))
	})
	return e
}

// run sends the request to the peer, and returns at the end of the answer or the context.
func (e *exchange) run(client peerClient, peer string, request *wirepb.Request) {
	reply, err := client.Do(e.ctx, peer, request, e.handlePart)
	e.err = outcome(reply, err)
	if e.err == nil {
		e.handlePart(0, reply.GetBody()) // the last part
	}
	if e.err == nil && e.dropped {
		e.err = errors.Mark(context.Cause(e.ctx), ErrLost)
	}
	e.cancelled = e.ctx.Err() != nil
	_ = e.writer.CloseWithError(e.err) // nil: the answer is complete
	close(e.ended)
	e.unhook()
	e.cancel(nil)
}

// handlePart handles one part: an acknowledgement, the head, or a piece of the body.
func (e *exchange) handlePart(_ int64, part []byte) {
	e.ackNanos.CompareAndSwap(0, max(1, int64(time.Since(e.start))))
	switch {
	case len(part) == 0:
	case e.hasHead:
		_, err := e.writer.Write(part) // fails once the exchange is cancelled or its reader is closed
		e.dropped = e.dropped || err != nil
	default:
		e.hasHead = true
		response, first, err := decodeHead(part)
		if err != nil {
			e.cancel(err)
			return
		}
		response.Body = &body{exchange: e, first: first}
		e.heads <- response
	}
}

// outcome returns the error for the end of an exchange; nil if the answer is complete.
func outcome(reply *wirepb.Reply, err error) error {
	switch {
	case errors.Is(err, wire.ErrNotSent):
		return errors.Mark(err, ErrNotRun)
	case err != nil:
		return errors.Mark(err, ErrLost)
	case api.Code(reply.GetCode()) == api.OK:
		return nil
	}
	failure := errors.Newf("%s: %s", api.Code(reply.GetCode()), reply.GetDetail())
	if api.Execution(reply.GetExecution()) != api.NotRun {
		return errors.Mark(failure, upstream.ErrNoAnswer)
	}
	switch api.Code(reply.GetCode()) {
	case api.Draining, api.Overloaded:
		failure = errors.Mark(failure, errDeclined)
	}
	return errors.Mark(failure, ErrNotRun)
}

// head waits for the head of the answer and returns it, or the error of the exchange. The head of a cancelled exchange is
// an answer only if the rest of it has arrived as well.
func (e *exchange) head(ctx context.Context) (*http.Response, error) {
	response := e.awaitHead()
	if response == nil {
		response = e.arrivedHead()
	}
	if response != nil && !e.isCut() {
		return response, nil
	}
	switch {
	case e.err == nil:
		return nil, errors.Mark(errors.New("the answer ended without a head"), ErrLost)
	case errors.Is(e.err, ErrLost) && errors.Is(context.Cause(e.ctx), errNoAck):
		return nil, errors.Mark(errors.Wrap(errNoAck, e.err.Error()), ErrLost)
	case errors.Is(e.err, ErrLost) && ctx.Err() != nil:
		return nil, errors.Mark(context.Cause(ctx), upstream.ErrNoAnswer) // the client disconnected, not the peer
	}
	return nil, e.err
}

// isComplete reports whether the exchange has ended with a whole answer.
func (e *exchange) isComplete() bool {
	select {
	case <-e.ended:
		return e.err == nil
	default:
		return false
	}
}

// arrivedHead returns the head if it has arrived, or nil.
func (e *exchange) arrivedHead() *http.Response {
	select {
	case response := <-e.heads:
		return response
	default:
		return nil
	}
}

// isCut reports whether the exchange was cancelled before the whole answer had arrived. After a cancellation it waits for the
// end of the exchange, which follows at once.
func (e *exchange) isCut() bool {
	if e.ctx.Err() == nil {
		return false
	}
	<-e.ended
	return e.cancelled && e.err != nil
}

// awaitHead waits for the head of the answer, or for the end of the exchange. If the peer does not acknowledge it in time, and
// does not answer alive either, awaitHead cancels the exchange. It returns nil at the end of the exchange.
func (e *exchange) awaitHead() *http.Response {
	start, wait := time.Now(), ackTimeout
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		select {
		case response := <-e.heads:
			return response
		case <-e.ended:
			return nil
		case <-timer.C:
		}
		switch {
		case e.acked():
		case time.Since(start) > wait+pauseTolerance:
			// This process was paused: what has arrived during the pause was not read yet.
			start, wait = time.Now(), ackAfter
			timer.Reset(wait)
		case e.alive != nil && (e.alive() || e.acked()): // acknowledged meanwhile
			start, wait = time.Now(), ackTimeout
			timer.Reset(wait)
		default:
			e.cancel(errors.Mark(errNoAck, ErrLost))
		}
	}
}

// acked reports whether the peer has acknowledged the request.
func (e *exchange) acked() bool { return e.ackNanos.Load() != 0 }

// ackLatency returns the time until the acknowledgement.
func (e *exchange) ackLatency() time.Duration { return time.Duration(e.ackNanos.Load()) }

// close ends the exchange, and cancels the request if the peer still works on it.
func (e *exchange) close() {
	e.cancel(errClosed)
	_ = e.reader.Close()
}

// body is the body of an exchange's answer.
type body struct {
	exchange *exchange
	first    []byte // piece that came with the head, as far as it was not read yet
}

// Read implements io.Reader. io.EOF means that the body is complete. After a cancellation it returns nothing of a body whose
// rest has not arrived.
func (b *body) Read(buffer []byte) (int, error) {
	if b.exchange.isCut() {
		return 0, b.exchange.err
	}
	if len(b.first) > 0 {
		count := copy(buffer, b.first)
		b.first = b.first[count:]
		return count, nil
	}
	count, err := b.exchange.reader.Read(buffer)
	if err != nil && b.exchange.isComplete() {
		return count, io.EOF // cancelled after all of it had arrived
	}
	return count, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.exchange.close()
	return nil
}
