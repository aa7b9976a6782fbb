package wire

import (
	"context"
	"fmt"
	"runtime/debug"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// overloadRetryAfter is the retry delay sent when one peer has too many open requests.
const overloadRetryAfter = time.Second

// maxPanicDetail limits the text of a panic and its stack in a log record.
const maxPanicDetail = 2 << 10 // bytes

// responder is the server side of one connection. Safe for concurrent use.
type responder struct {
	server *Server
	link   *link
	ctx    context.Context // ends with the link
	stop   context.CancelFunc

	mu        sync.Mutex
	exchanges map[uint64]*exchange // by correlation id
	open      int                  // requests in progress, including one-way ones
}

func newResponder(server *Server, link *link) *responder {
	ctx, stop := context.WithCancel(server.ctx)
	return &responder{
		server: server, link: link, ctx: ctx, stop: stop,
		exchanges: make(map[uint64]*exchange),
	}
}

// run reads requests until the link ends. Handlers may run longer; the server
// waits for them when it is closed.
func (r *responder) run() {
	r.link.read(r.handle)
	r.stop()
	<-r.link.writerDone
}

// handle starts a request, or applies a Cancel or Window to its exchange.
func (r *responder) handle(frame *wirepb.Frame) error {
	switch body := frame.GetBody().(type) {
	case *wirepb.Frame_Request:
		r.begin(frame.GetCorrelation(), body.Request)
	case *wirepb.Frame_Cancel:
		if target := r.lookup(frame.GetCorrelation()); target != nil {
			target.cancel()
		}
	case *wirepb.Frame_Window:
		if target := r.lookup(frame.GetCorrelation()); target != nil {
			target.window.add(int(body.Window.GetBytes()))
		}
	default:
		return errUnexpectedFrame
	}
	return nil
}

// begin serves a request on its own goroutine. It drops a request whose
// correlation id belongs to an open one.
func (r *responder) begin(correlation uint64, request *wirepb.Request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if correlation != 0 && r.exchanges[correlation] != nil {
		return
	}
	if r.server.draining.Load() && correlation != 0 {
		r.link.sendDrainNotice() // before the reply, which the client takes for a drain reply only after the notice
		r.reject(correlation, drainReply())
		return
	}
	if r.open >= maxRequestsPerLink {
		r.reject(correlation, overloadedReply())
		return
	}
	started := newExchange(r, correlation)
	if correlation != 0 {
		r.exchanges[correlation] = started
	}
	r.open++
	r.server.openRequests.begin()
	r.server.tasks.Go(func() {
		defer r.end(started)
		started.answer(request)
	})
}

// reject replies to a request that was not started.
func (r *responder) reject(correlation uint64, reply *wirepb.Reply) {
	if correlation == 0 {
		return
	}
	r.link.control(&wirepb.Frame{Correlation: correlation, Body: &wirepb.Frame_Reply{Reply: reply}})
}

func overloadedReply() *wirepb.Reply {
	return &wirepb.Reply{
		Code:             int32(api.Overloaded),
		Execution:        string(api.NotRun),
		Detail:           "too many open requests of one peer",
		RetryAfterMillis: overloadRetryAfter.Milliseconds(),
	}
}

func (r *responder) lookup(correlation uint64) *exchange {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.exchanges[correlation]
}

func (r *responder) end(ended *exchange) {
	ended.cancel()
	defer r.server.openRequests.end()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open--
	if ended.correlation != 0 {
		delete(r.exchanges, ended.correlation)
	}
}

// exchange is the server side of one request.
type exchange struct {
	responder   *responder
	correlation uint64 // 0: one-way
	ctx         context.Context
	cancel      context.CancelFunc
	window      *window
}

func newExchange(r *responder, correlation uint64) *exchange {
	ctx, cancel := context.WithCancel(r.ctx)
	return &exchange{
		responder: r, correlation: correlation, ctx: ctx, cancel: cancel,
		window: newWindow(StreamWindowBytes),
	}
}

// answer runs the handler and sends its reply, unless the request is one-way or was cancelled.
func (e *exchange) answer(request *wirepb.Request) {
	reply := e.serve(request)
	if e.correlation == 0 || e.ctx.Err() != nil {
		return
	}
	if reply == nil {
		reply = failedReply("the handler gave no reply")
	}
	encoded, err := e.encode(&wirepb.Frame{Body: &wirepb.Frame_Reply{Reply: reply}})
	if err != nil {
		encoded, err = e.encode(&wirepb.Frame{Body: &wirepb.Frame_Reply{Reply: failedReply(err.Error())}})
	}
	if err != nil {
		e.responder.link.fail(err)
		return
	}
	_ = e.responder.link.queue.push(e.ctx, &outgoing{encoded: encoded})
}

// serve runs the handler. A handler that panics fails only its own request, as one of net/http does: a panic of this goroutine would end
// the process.
func (e *exchange) serve(request *wirepb.Request) (reply *wirepb.Reply) {
	defer func() {
		if panicValue := recover(); panicValue != nil {
			e.responder.logPanic(panicValue)
			reply = failedReply("the request's handler failed")
		}
	}()
	return e.responder.server.handler.ServePeer(e.ctx, request, e.sendPart)
}

// logPanic logs the panic of a handler, with the start of its stack.
func (r *responder) logPanic(panicValue any) {
	detail := fmt.Sprintf("%v\n%s", panicValue, debug.Stack())
	r.server.options.Logger.Error("handler of a peer's request panicked", "peer", r.link.remote, "panic", detail[:min(len(detail), maxPanicDetail)])
}

// failedReply is the reply to a request that was handled but whose reply cannot
// be sent.
func failedReply(detail string) *wirepb.Reply {
	return &wirepb.Reply{Code: int32(api.Internal), Execution: string(api.Unknown), Detail: detail}
}

// sendPart sends text in chunks of at most maxPartBytes. It waits while the
// stream's window or the link's queue is full.
func (e *exchange) sendPart(offset int64, text []byte) {
	if e.correlation == 0 {
		return
	}
	for {
		chunk := text[:min(len(text), maxPartBytes)]
		if err := e.sendChunk(offset, chunk); err != nil {
			return
		}
		offset += int64(len(chunk))
		text = text[len(chunk):]
		if len(text) == 0 {
			return
		}
	}
}

func (e *exchange) sendChunk(offset int64, text []byte) error {
	if err := e.window.take(e.ctx, partCost(text)); err != nil {
		return err
	}
	part := &wirepb.Part{Offset: offset, Text: text}
	encoded, err := e.encode(&wirepb.Frame{Body: &wirepb.Frame_Part{Part: part}})
	if err != nil {
		e.responder.link.fail(err)
		return err
	}
	return e.responder.link.queue.push(e.ctx, &outgoing{encoded: encoded})
}

func (e *exchange) encode(frame *wirepb.Frame) ([]byte, error) {
	frame.Correlation = e.correlation
	return encodeFrame(frame, e.responder.link.options.MaxFrameBytes)
}
