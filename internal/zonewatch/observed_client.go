package zonewatch

import (
	"context"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// client sends requests to peers. *wire.Client implements it.
type client interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
	Send(ctx context.Context, address string, request *wirepb.Request) error
}

// ObservedClient sends requests to peers, and reports to a watch which peers respond and which do not. It is for
// requests to which a peer sends the first part of its reply, or a keep-alive, at once. Safe for concurrent use.
type ObservedClient struct {
	client
	watch     *Watch
	afterFunc func(d time.Duration, f func()) *time.Timer // time.AfterFunc
}

// NewObservedClient returns a client that reports to a watch, on top of a client of the peer protocol.
func NewObservedClient(peers client, watch *Watch) *ObservedClient {
	return &ObservedClient{client: peers, watch: watch, afterFunc: time.AfterFunc}
}

// Do sends a request and waits for its reply.
func (c *ObservedClient) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	zone, found := c.watch.zoneOf(address)
	if !found {
		return c.client.Do(ctx, address, request, onPart)
	}
	sentAt := time.Now()
	timeout := startResponseTimer(sentAt, c.afterFunc, func() { c.watch.recordUnanswered(address, zone, sentAt) })
	defer timeout.stop()
	responded := false
	reply, err := c.client.Do(ctx, address, request, func(offset int64, text []byte) {
		if !responded {
			responded = true
			timeout.stop()
			c.watch.recordFirstResponse(address, zone, timeout)
		}
		if onPart != nil {
			onPart(offset, text)
		}
	})
	pending := timeout.stop()
	switch {
	case err == nil && !responded:
		c.watch.recordFirstResponse(address, zone, timeout)
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		c.watch.recordResponse(address, zone) // a machine that refuses connections is up
	case pending && time.Since(sentAt) >= cancelledTimeout:
		c.watch.recordUnanswered(address, zone, sentAt)
	}
	return reply, err
}

// recordUnanswered records that a request has no response, unless this process was paused in that time.
func (w *Watch) recordUnanswered(address, zone string, sentAt time.Time) {
	if time.Since(sentAt) > responseTimeout+maxTimerDelay {
		return
	}
	w.recordTimeout(address, zone, sentAt)
}
