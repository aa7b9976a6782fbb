package command

import (
	"context"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func TestStopOnSignal(t *testing.T) {
	failure := errors.New("failure")
	hang := func(ctx context.Context) error {
		<-ctx.Done()
		return ctx.Err()
	}
	for name, test := range map[string]struct {
		signals int
		failed  error
		limit   time.Duration
		drain   func(context.Context) error
		want    error
	}{
		"drained":        {signals: 1, limit: time.Hour, drain: func(context.Context) error { return nil }},
		"drain failed":   {signals: 1, limit: time.Hour, drain: func(context.Context) error { return failure }, want: failure},
		"drain too long": {signals: 1, limit: time.Millisecond, drain: hang, want: context.DeadlineExceeded},
		"second signal":  {signals: 2, limit: time.Hour, drain: hang, want: ErrStopped},
		"failed before":  {failed: failure, limit: time.Hour, drain: hang, want: failure},
	} {
		signals := make(chan os.Signal, test.signals)
		for range test.signals {
			signals <- syscall.SIGTERM
		}
		failed := make(chan error, 1)
		if test.failed != nil {
			failed <- test.failed
		}
		if err := StopOnSignal(signals, failed, test.limit, test.drain); !errors.Is(err, test.want) {
			t.Errorf("%s: %v, want %v", name, err, test.want)
		}
	}
}
