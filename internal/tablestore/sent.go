package tablestore

import (
	"context"
	"sync"
)

// sentKey is the context key of a call's function for ReportSent.
type sentKey struct{}

// WithSentReport returns a context for a Commit that may wait in a queue, of this node or of another one, before it is
// sent to the service. onSent is called at most once, and not after Commit has returned. It is not called if the
// transaction hardly waited, or if the queue is that of a node that does not report it.
func WithSentReport(ctx context.Context, onSent func()) context.Context {
	return context.WithValue(ctx, sentKey{}, sync.OnceFunc(onSent))
}

// ReportSent reports that a transaction that waited in a queue is sent to the service now.
func ReportSent(ctx context.Context) {
	if onSent, ok := ctx.Value(sentKey{}).(func()); ok {
		onSent()
	}
}
