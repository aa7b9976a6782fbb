// Package eventlog writes log records without ever blocking the code that logs.
// Records go into a bounded buffer that is written out a little later. When the
// buffer fills, routine records are dropped first. The number of dropped records is
// counted, and logged in a record of its own once there is free space again.
package eventlog

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the buffer.
const (
	maxBufferBytes     = 1 << 20
	routineBufferBytes = maxBufferBytes / 2 // above it, routine records are dropped
	flushDelay         = 100 * time.Millisecond
)

// Writer is a bounded buffer in front of a slow writer. Safe for concurrent use.
type Writer struct {
	out        io.Writer
	writeToken chan struct{} // holds a token while no write to out is in progress

	mutex     sync.Mutex
	buffer    []byte
	scheduled bool
	dropped   atomic.Uint64
	reported  uint64 // how many dropped records were logged; guarded by mutex
}

// NewWriter returns a writer that buffers records in front of out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, writeToken: make(chan struct{}, 1)}
	w.writeToken <- struct{}{}
	return w
}

// Dropped returns how many records were dropped so far.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// append adds a record to the buffer, or drops it if the buffer is too full.
func (w *Writer) append(record []byte, routine bool) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	limit := maxBufferBytes
	if routine {
		limit = routineBufferBytes
	}
	if len(w.buffer)+len(record) > limit {
		w.dropped.Add(1)
		return
	}
	w.reportDropped()
	w.buffer = append(w.buffer, record...)
	if !w.scheduled {
		w.scheduled = true
		time.AfterFunc(flushDelay, w.Flush)
	}
}

// reportDropped adds a record with the number of records dropped since the last such record.
// The mutex is held.
func (w *Writer) reportDropped() {
	dropped := w.dropped.Load()
	if dropped == w.reported {
		return
	}
	w.buffer = fmt.Appendf(w.buffer, `{"time":%q,"level":"WARN","msg":"log lines dropped","count":%d}`+"\n",
		time.Now().Format(time.RFC3339Nano), dropped-w.reported)
	w.reported = dropped
}

// Flush writes out the buffer; if a write is in progress, it schedules another flush instead.
func (w *Writer) Flush() {
	select {
	case <-w.writeToken:
	default:
		time.AfterFunc(flushDelay, w.Flush)
		return
	}
	defer func() { w.writeToken <- struct{}{} }()
	w.mutex.Lock()
	content := w.buffer
	w.buffer = nil
	w.scheduled = false
	w.mutex.Unlock()
	if len(content) > 0 {
		_, _ = w.out.Write(content) // a failure to write the log cannot be logged
	}
}

// recordWriter passes one record to a Writer.
type recordWriter struct {
	writer  *Writer
	routine bool
}

// Write implements io.Writer.
func (l recordWriter) Write(record []byte) (int, error) {
	l.writer.append(record, l.routine)
	return len(record), nil
}

// NewLogger returns a logger that writes records of at least a level to the writer. Every
// record has the attributes.
func NewLogger(writer *Writer, level slog.Leveler, attributes ...slog.Attr) *slog.Logger {
	options := &slog.HandlerOptions{Level: level}
	return slog.New(&levelHandler{
		routine:   slog.NewJSONHandler(recordWriter{writer, true}, options).WithAttrs(attributes),
		important: slog.NewJSONHandler(recordWriter{writer, false}, options).WithAttrs(attributes),
	})
}

// levelHandler sends routine records and others to different handlers.
type levelHandler struct {
	routine, important slog.Handler
}

// LevelRoutine is the level of the records that are dropped first.
const LevelRoutine = slog.LevelInfo - 1

// Enabled implements slog.Handler.
func (l *levelHandler) Enabled(ctx context.Context, level slog.Level) bool {
	return l.routine.Enabled(ctx, level)
}

// Handle implements slog.Handler.
func (l *levelHandler) Handle(ctx context.Context, record slog.Record) error {
	if record.Level <= LevelRoutine {
		return l.routine.Handle(ctx, record)
	}
	return l.important.Handle(ctx, record)
}

// WithAttrs implements slog.Handler.
func (l *levelHandler) WithAttrs(attributes []slog.Attr) slog.Handler {
	return &levelHandler{l.routine.WithAttrs(attributes), l.important.WithAttrs(attributes)}
}

// WithGroup implements slog.Handler.
func (l *levelHandler) WithGroup(name string) slog.Handler {
	return &levelHandler{l.routine.WithGroup(name), l.important.WithGroup(name)}
}
