package backend

import (
	"context"
	"time"
)

// SetResumeDelay shortens the wait before a cut stream is resumed.
func (c *EngineClient) SetResumeDelay(delay time.Duration) {
	c.resume.baseDelay = delay
	c.resume.maxDelay = delay
}

// SetIdleTimeout sets after which silence a link counts as cut.
func (c *EngineClient) SetIdleTimeout(timeout time.Duration) { c.resume.idleTimeout = timeout }

// PollOnce makes an observer poll once.
func (o *Observer) PollOnce(ctx context.Context) error { return o.poll(ctx) }
