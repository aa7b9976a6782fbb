package client_test

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// failTimes returns an operation that fails with err the given number of times.
func failTimes(times int, err error, attempts *int) func(context.Context) error {
	return func(context.Context) error {
		*attempts++
		if *attempts <= times {
			return err
		}
		return nil
	}
}

func TestRetryRepeatsOnlyWhatIsSafe(t *testing.T) {
	sent := &client.TransportError{MaybeSent: true, Err: errors.New("cut")}
	notSent := &client.TransportError{Err: errors.New("refused")}
	tests := []struct {
		name       string
		err        error
		idempotent bool
		repeated   bool
	}{
		{"refused for load", api.Errorf(api.Overloaded, ""), false, true},
		{"refused for good", api.Errorf(api.BudgetExhausted, ""), true, false},
		{"may have run", api.Errorf(api.Internal, ""), false, false},
		{"may have run, idempotent", api.Errorf(api.Internal, ""), true, true},
		{"pending, idempotent", api.Errorf(api.CallPending, ""), true, true},
		{"final unknown", api.Errorf(api.OutcomeUnknown, ""), true, false},
		{"refused, but unknown", &api.Error{Code: api.Overloaded, Execution: api.Unknown}, false, false},
		{"not sent", notSent, false, true},
		{"sent", sent, false, false},
		{"sent, idempotent", sent, true, true},
		{"other error", errors.New("bug"), true, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				attempts := 0
				policy := client.RetryPolicy{Idempotent: test.idempotent}
				err := client.Retry(t.Context(), policy, failTimes(2, test.err, &attempts))
				if test.repeated != (err == nil && attempts == 3) || !test.repeated && attempts != 1 {
					t.Errorf("%d attempts, %v", attempts, err)
				}
			})
		})
	}
}

func TestRetryHonoursRetryAfter(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		started, attempts := time.Now(), 0
		busy := api.Errorf(api.Overloaded, "").WithRetryAfter(20 * time.Second)
		err := client.Retry(t.Context(), client.RetryPolicy{}, failTimes(3, busy, &attempts))
		elapsed := time.Since(started)
		maxJitter := (100 + 200 + 400) * time.Millisecond
		if err != nil || elapsed < time.Minute || elapsed > time.Minute+maxJitter {
			t.Errorf("%v after %v", err, elapsed)
		}
	})
}

func TestRetryNeverPassesTheDeadline(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 25*time.Second)
		defer cancel()
		started, attempts := time.Now(), 0
		busy := api.Errorf(api.Overloaded, "").WithRetryAfter(20 * time.Second)
		err := client.Retry(ctx, client.RetryPolicy{}, failTimes(9, busy, &attempts))
		var problem *api.Error
		if !errors.As(err, &problem) || attempts != 2 || time.Since(started) >= 25*time.Second {
			t.Errorf("%v after %d attempts and %v", err, attempts, time.Since(started))
		}
	})
}

func TestRetryRemembersThatAnAttemptMayHaveRun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		results := []error{
			&client.TransportError{MaybeSent: true, Err: errors.New("cut")},
			api.Errorf(api.ProgramEnded, ""),
		}
		err := client.Retry(t.Context(), client.RetryPolicy{Idempotent: true}, func(context.Context) error {
			next := results[0]
			results = results[1:]
			return next
		})
		var problem *api.Error
		if !errors.As(err, &problem) || problem.Code != api.ProgramEnded || problem.Execution != api.Unknown {
			t.Errorf("%#v", err)
		}
	})
}
