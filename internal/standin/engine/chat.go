package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
)

const (
	maxRequestBytes = 32 << 20
	keepAlivePeriod = 5 * time.Second
	chunkBytes      = 256
)

// refusal is an answer that is not 2xx.
type refusal struct {
	status  int
	code    string
	message string
}

func (r *refusal) write(writer http.ResponseWriter) {
	backend.WriteError(writer, r.status, r.code, r.message)
}

func (e *Engine) serveChat(writer http.ResponseWriter, request *http.Request) {
	var chat backend.WireChatRequest
	body := http.MaxBytesReader(writer, request.Body, maxRequestBytes)
	if err := json.NewDecoder(body).Decode(&chat); err != nil {
		backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, err.Error())
		return
	}
	e.mutex.Lock()
	accepted, refused := e.accept(chat)
	dropReply := refused == nil && e.consumeDroppedReply()
	e.mutex.Unlock()
	if refused != nil {
		refused.write(writer)
		return
	}
	if dropReply {
		panic(http.ErrAbortHandler)
	}
	e.writeStream(writer, request, accepted, 0)
}

// accept checks a request and submits it to the model. The caller holds the mutex.
func (e *Engine) accept(chat backend.WireChatRequest) (*stream, *refusal) {
	now := time.Now()
	if refused := e.checkRequest(chat, now); refused != nil {
		return nil, refused
	}
	if chat.MaxTokens <= 0 {
		chat.MaxTokens = 2 * e.options.AnswerTokens
	}
	text := Answer(chat.Messages, chat.MaxTokens, e.options.AnswerTokens)
	added := e.streams.add(chat, text)
	if err := e.model.Submit(now, modelRequest(chat, text)); err != nil {
		e.streams.remove(chat.RequestID)
		return nil, submitRefusal(err)
	}
	e.step()
	e.wakeDriver()
	return added, nil
}

func (e *Engine) checkRequest(chat backend.WireChatRequest, now time.Time) *refusal {
	switch {
	case e.faults.Refuse:
		return &refusal{http.StatusServiceUnavailable, backend.WireRefused, "refusing all requests"}
	case e.faults.Leaving:
		return &refusal{http.StatusServiceUnavailable, backend.WireLeaving, "leaving"}
	case chat.RequestID == "" || len(chat.Messages) == 0:
		return &refusal{http.StatusBadRequest, backend.WireInvalid, "request_id and messages are needed"}
	case e.streams.get(chat.RequestID) != nil:
		return &refusal{http.StatusConflict, backend.WireDuplicate, "request_id was used or cancelled before"}
	case !e.orders.serves(chat.Model, chat.Adapter, now):
		return &refusal{http.StatusNotFound, backend.WireUnknownModel, "model or adapter is not loaded"}
	case e.model.Load(now).Waiting >= e.options.MaxWaiting:
		return &refusal{http.StatusTooManyRequests, backend.WireOverloaded, "the waiting line is full"}
	case !e.fences.checkAndRecord(chat.Program, chat.Epoch):
		return &refusal{http.StatusConflict, backend.WireFenced, "a newer epoch holds this program"}
	}
	return nil
}

func submitRefusal(err error) *refusal {
	if errors.Is(err, ErrTooLarge) {
		return &refusal{http.StatusRequestEntityTooLarge, backend.WireTooLarge, err.Error()}
	}
	return &refusal{http.StatusConflict, backend.WireDuplicate, err.Error()}
}

// modelRequest returns the sizes and blocks of a request for the model. The
// answer is cached under the prompt prefix of the program's next turn.
func modelRequest(chat backend.WireChatRequest, text string) Request {
	prompt := backend.RenderPrompt(chat.Messages)
	answer := backend.RenderPrompt([]api.Message{{Role: "assistant", Content: text}})
	return Request{
		ID:           chat.RequestID,
		Program:      chat.Program,
		Priority:     chat.Priority,
		PromptTokens: backend.EstimateTokens(len(prompt)),
		AnswerTokens: backend.EstimateTokens(len(text)),
		PromptBlocks: backend.RenderedPrefixBlocks(prompt),
		FinalBlocks:  backend.RenderedPrefixBlocks(prompt + answer),
	}
}

func (e *Engine) serveResume(writer http.ResponseWriter, request *http.Request) {
	offset, err := strconv.Atoi(request.FormValue("offset"))
	if err != nil || offset < 0 {
		backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, "offset is not a number of bytes")
		return
	}
	e.mutex.Lock()
	existing := e.streams.get(request.PathValue("id"))
	overlap := e.faults.ResumeOverlapBytes
	e.mutex.Unlock()
	if existing == nil || offset > len(existing.text) {
		backend.WriteError(writer, http.StatusNotFound, backend.WireUnknownStream, "no such stream or offset")
		return
	}
	e.writeStream(writer, request, existing, max(offset-overlap, 0))
}

func (e *Engine) serveCancel(writer http.ResponseWriter, request *http.Request) {
	id := request.PathValue("id")
	e.mutex.Lock()
	if e.streams.get(id) == nil {
		e.streams.addCancelled(id)
	}
	e.model.Cancel(time.Now(), id)
	e.step()
	e.wakeDriver()
	e.mutex.Unlock()
	writer.WriteHeader(http.StatusNoContent)
}

// writeStream sends a stream from an offset as server-sent events, until it
// ends, the client disconnects, the engine closes, or a fault cuts the connection.
func (e *Engine) writeStream(writer http.ResponseWriter, request *http.Request, source *stream, offset int) {
	output := newEventWriter(writer, source, offset)
	keepAlive := time.NewTicker(keepAlivePeriod)
	defer keepAlive.Stop()
	for {
		e.mutex.Lock()
		ready, finish, changed := source.ready, source.finish, source.changed
		cutAfter := e.faults.CutStreamAfterBytes
		e.mutex.Unlock()
		if !output.writeText(ready, cutAfter) {
			e.cutConnection(source)
		}
		if finish != "" {
			output.writeEnd(finish)
			return
		}
		select {
		case <-changed:
		case <-keepAlive.C:
			output.writeComment()
		case <-request.Context().Done():
			return
		case <-e.done:
			panic(http.ErrAbortHandler)
		}
	}
}

// cutConnection closes the connection. With CutForgetsStream it also cancels
// the request and drops the stream, as a crash of the engine would.
func (e *Engine) cutConnection(source *stream) {
	e.mutex.Lock()
	if e.faults.CutForgetsStream {
		e.model.Cancel(time.Now(), source.request.RequestID)
		e.step()
		e.streams.remove(source.request.RequestID)
	}
	e.mutex.Unlock()
	panic(http.ErrAbortHandler)
}
