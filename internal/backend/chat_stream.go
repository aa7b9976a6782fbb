package backend

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
)

const (
	maxLineBytes    = 256 << 10
	maxTextBytes    = 4 << 20
	maxSkippedBytes = 1 << 20 // in a row, without new text
	// endTimeout is how long a connection may stay open after a stream's last chunk; a connection
	// whose response ends in time can be reused.
	endTimeout = 100 * time.Millisecond
)

// errStreamInterrupted: the connection failed, or the stream on it was invalid, before the last chunk.
// The stream may be resumed at its offset.
var errStreamInterrupted = errors.New("stream interrupted")

// resumePolicy limits the resumption of interrupted streams.
type resumePolicy struct {
	attempts    int           // consecutive attempts without a byte of progress
	baseDelay   time.Duration // doubled with each attempt, full jitter
	maxDelay    time.Duration
	idleTimeout time.Duration // time without data after which a connection counts as failed
}

var defaultResumePolicy = resumePolicy{
	attempts:    5,
	baseDelay:   20 * time.Millisecond,
	maxDelay:    time.Second,
	idleTimeout: 15 * time.Second,
}

// wait sleeps for the attempt's jittered delay or until ctx ends.
func (p resumePolicy) wait(ctx context.Context, attempt int) error {
	limit := min(p.baseDelay<<attempt, p.maxDelay)
	timer := time.NewTimer(rand.N(limit + 1))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return context.Cause(ctx)
	case <-timer.C:
		return ctx.Err()
	}
}

// chatStream collects the text of one response over one or more connections. It is not safe for
// concurrent use.
type chatStream struct {
	onText   func(offset int64, text string)
	text     []byte
	finish   string
	usage    api.Usage
	digest   string
	complete bool
	failed   bool // finally: the engine or this client aborted the stream
}

func (s *chatStream) offset() int64 { return int64(len(s.text)) }

// read reads server-sent events from one connection until the stream is complete. It returns
// errStreamInterrupted if the connection ended first, and ErrOutcomeUnknown if the engine aborted the
// stream or ctx ended.
func (s *chatStream) read(ctx context.Context, body io.ReadCloser, idleTimeout time.Duration) error {
	// Closing the body ends a read that waits on an unresponsive connection.
	watchdog := time.AfterFunc(idleTimeout, func() { _ = body.Close() })
	defer watchdog.Stop()
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxLineBytes)
	var skipped int
	for scanner.Scan() {
		watchdog.Reset(idleTimeout)
		before := s.offset()
		data, isData := bytes.CutPrefix(scanner.Bytes(), []byte("data:"))
		if isData {
			if err := s.handleEvent(bytes.TrimSpace(data)); err != nil {
				return err
			}
		}
		if s.complete {
			watchdog.Reset(endTimeout)
		}
		skipped += len(scanner.Bytes()) + 1
		if s.offset() > before {
			skipped = 0
		}
		if skipped > maxSkippedBytes {
			return s.endWithoutProgress(ctx)
		}
	}
	if s.complete {
		return nil
	}
	if ctx.Err() != nil {
		return wrapAs(ctx, ErrOutcomeUnknown, context.Cause(ctx))
	}
	if scanner.Err() != nil {
		return wrapAs(ctx, errStreamInterrupted, scanner.Err())
	}
	return wrapAs(ctx, errStreamInterrupted, io.ErrUnexpectedEOF)
}

// endWithoutProgress ends the reading of a connection on which the engine sends nothing that belongs to the response.
func (s *chatStream) endWithoutProgress(ctx context.Context) error {
	if s.complete {
		return nil
	}
	return wrapAs(ctx, errStreamInterrupted, errors.Newf("%d bytes in a row have no text", maxSkippedBytes))
}

func (s *chatStream) handleEvent(data []byte) error {
	if s.complete || string(data) == StreamEnd {
		return nil
	}
	if offset, text, ok := scanTextChunk(data); ok {
		return s.appendText(offset, text)
	}
	var chunk WireChatChunk
	if err := json.Unmarshal(data, &chunk); err != nil {
		return errors.Wrapf(errStreamInterrupted, "decode event: %v", err)
	}
	if chunk.Error != nil {
		s.failed = true
		return errors.Wrapf(ErrOutcomeUnknown, "engine aborted the stream: %s: %s", chunk.Error.Code, chunk.Error.Message)
	}
	if len(chunk.Choices) == 0 {
		return nil
	}
	choice := chunk.Choices[0]
	if err := s.appendText(chunk.Offset, choice.Delta.Content); err != nil {
		return err
	}
	if choice.FinishReason != "" {
		s.end(choice.FinishReason, chunk)
	}
	return nil
}

// appendText appends the new part of a chunk of text. It drops the part that overlaps the text received
// so far. A chunk that starts beyond the end of that text interrupts the stream.
func (s *chatStream) appendText(offset int64, text string) error {
	received := s.offset()
	if offset < 0 || offset > received {
		return errors.Wrapf(errStreamInterrupted, "chunk at offset %d after %d bytes", offset, received)
	}
	overlap := received - offset
	if overlap >= int64(len(text)) {
		return nil
	}
	newText := text[overlap:]
	if len(s.text)+len(newText) > maxTextBytes {
		s.failed = true
		return errors.Wrapf(ErrOutcomeUnknown, "response is longer than %d bytes", maxTextBytes)
	}
	s.text = append(s.text, newText...)
	if s.onText != nil {
		s.onText(received, newText)
	}
	return nil
}

func (s *chatStream) end(reason string, chunk WireChatChunk) {
	s.complete = true
	s.finish = reason
	s.digest = chunk.Digest
	if chunk.Usage == nil {
		return
	}
	s.usage = api.Usage{
		PromptTokens:     chunk.Usage.PromptTokens,
		CachedTokens:     chunk.Usage.PromptTokensDetails.CachedTokens,
		CompletionTokens: chunk.Usage.CompletionTokens,
	}
}

// check verifies that a complete stream was not cancelled and that its text matches its digest.
func (s *chatStream) check() error {
	if s.finish == FinishCancelled {
		return errors.Wrap(ErrOutcomeUnknown, "stream was cancelled at the engine")
	}
	if digest := TextDigest(string(s.text)); digest != s.digest {
		return errors.Wrapf(ErrOutcomeUnknown, "text digest %s, engine reported %q", digest, s.digest)
	}
	return nil
}

func (s *chatStream) result() ChatResult {
	return ChatResult{Text: string(s.text), Usage: s.usage, Digest: s.digest}
}
