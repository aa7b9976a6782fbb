package command

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// Signals returns a channel that receives SIGTERM and SIGINT, and a function
// that ends the subscription.
func Signals() (signals <-chan os.Signal, stop func()) {
	channel := make(chan os.Signal, 2)
	signal.Notify(channel, syscall.SIGTERM, syscall.SIGINT)
	return channel, func() { signal.Stop(channel) }
}

// StopOnSignal waits for the first signal, then runs drain with the given
// time limit. On a second signal it returns ErrStopped immediately; drain's
// context is then cancelled, but drain is not waited for. If failed yields an
// error before the first signal, that error is returned and drain does not run.
func StopOnSignal(signals <-chan os.Signal, failed <-chan error, limit time.Duration, drain func(context.Context) error) error {
	select {
	case <-signals:
	case err := <-failed:
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	drained := make(chan error, 1)
	go func() { drained <- drain(ctx) }()
	select {
	case err := <-drained:
		return errors.Wrap(err, "drain")
	case <-signals:
		return ErrStopped
	}
}
