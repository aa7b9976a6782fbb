package wire

import (
	"context"
	"sync"
)

// openRequests counts the requests that a server is answering. Safe for
// concurrent use.
type openRequests struct {
	mu    sync.Mutex
	count int
	none  chan struct{} // closed when count falls to 0; nil while it is 0
}

func (o *openRequests) begin() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.count == 0 {
		o.none = make(chan struct{})
	}
	o.count++
}

func (o *openRequests) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.count--
	if o.count == 0 {
		close(o.none)
		o.none = nil
	}
}

// wait returns when no request is open, or with the context's error.
func (o *openRequests) wait(ctx context.Context) error {
	o.mu.Lock()
	none := o.none
	o.mu.Unlock()
	if none == nil {
		return nil
	}
	select {
	case <-none:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Drain prepares a planned stop: it takes no new connections, waits until no
// request is being answered, and until all replies were handed to the kernel.
// Requests that peers go on sending over their connections are still
// answered. Close follows. The error is the context's.
func (s *Server) Drain(ctx context.Context) error {
	_ = s.listener.Close()
	if err := s.open.wait(ctx); err != nil {
		return err
	}
	for _, accepted := range s.currentLinks() {
		if err := accepted.flush(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *Server) currentLinks() []*link {
	s.mu.Lock()
	defer s.mu.Unlock()
	links := make([]*link, 0, len(s.links))
	for accepted := range s.links {
		links = append(links, accepted)
	}
	return links
}

// flush waits until the frames queued so far were handed to the socket or
// the link has ended. The error is the context's.
func (l *link) flush(ctx context.Context) error {
	marker := &outgoing{flushed: make(chan struct{})}
	l.queue.force(marker)
	select {
	case <-marker.flushed:
	case <-l.writerDone:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}
