package serving

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestJoinIsTriedAgainWhenTheServiceReturns ends an outage while an attempt waits for an answer, and while the next attempt is
// pending. Either way the next attempt begins at once, and later ones are not hurried.
func TestJoinIsTriedAgainWhenTheServiceReturns(t *testing.T) {
	for name, failures := range map[string]int{"during the first attempt": 0, "after many": 10} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				returned := make(chan struct{})
				attempts := &joinAttempts{returned: returned}
				for range failures {
					attempts.awaitNext(t.Context())
				}
				attempt, cancel := attempts.start(t.Context())
				time.AfterFunc(time.Hour, func() { close(returned) })
				<-attempt.Done()
				cancel()
				begun := time.Now()
				if !attempts.awaitNext(t.Context()) || time.Since(begun) > 0 {
					t.Errorf("the next attempt began %s after the service returned, want at once", time.Since(begun))
				}
				attempt, cancel = attempts.start(t.Context())
				defer cancel()
				time.Sleep(time.Hour) // virtual time
				if attempt.Err() != nil {
					t.Error("an attempt after the service's return was ended")
				}
			})
		})
	}
}

// TestJoinIsTriedAgainDuringAPause ends an outage between two attempts.
func TestJoinIsTriedAgainDuringAPause(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		returned := make(chan struct{})
		attempts := &joinAttempts{returned: returned, pause: maxJoinPause}
		time.AfterFunc(maxJoinPause/2, func() { close(returned) })
		begun := time.Now()
		if !attempts.awaitNext(t.Context()) || time.Since(begun) != maxJoinPause/2 {
			t.Errorf("the next attempt began after %s, want %s", time.Since(begun), maxJoinPause/2)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		if attempts.awaitNext(ctx) {
			t.Error("an attempt follows the end of the process")
		}
	})
}
