package wire

import (
	"context"
	"sync"
)

// window counts the bytes that a stream may still send. Safe for concurrent
// use by one goroutine that takes and any number that add.
type window struct {
	mu    sync.Mutex
	bytes int
	added chan struct{} // holds one token after add
}

func newWindow(bytes int) *window {
	return &window{bytes: bytes, added: make(chan struct{}, 1)}
}

// add grants further bytes, up to a full window.
func (w *window) add(bytes int) {
	w.mu.Lock()
	w.bytes = min(w.bytes+bytes, StreamWindowBytes)
	w.mu.Unlock()
	select {
	case w.added <- struct{}{}:
	default:
	}
}

// take waits until the window is positive and subtracts the given number, which may
// leave the window negative. The error is the context's.
func (w *window) take(ctx context.Context, bytes int) error {
	for {
		if w.tryTake(bytes) {
			return ctx.Err()
		}
		select {
		case <-w.added:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (w *window) tryTake(bytes int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.bytes <= 0 {
		return false
	}
	w.bytes -= bytes
	return true
}
