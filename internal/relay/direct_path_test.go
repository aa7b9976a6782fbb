package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// TestCallErrorsAreClassified checks what the errors of calls show of the direct path.
func TestCallErrorsAreClassified(t *testing.T) {
	for _, test := range []struct {
		name string
		err  error
		want callEnd
	}{
		{"done", nil, answered},
		{"a condition failed", &tablestore.ConflictError{}, answered},
		{"rejected", errors.Mark(errors.New("no"), tablestore.ErrRejected), answered},
		{"history dropped", errors.Mark(errors.New("no"), tablestore.ErrHistoryTruncated), answered},
		{"throttled", errors.Mark(errors.New("no"), tablestore.ErrThrottled), failed},
		{"unavailable", errors.Mark(errors.New("no"), tablestore.ErrUnavailable), failed},
		{"reset", errors.Mark(errors.New("no"), tablestore.ErrUnknownOutcome), failed},
		{"no answer in time", errors.Mark(context.DeadlineExceeded, tablestore.ErrUnknownOutcome), failed},
		{"cancelled", errors.Mark(context.Canceled, tablestore.ErrUnknownOutcome), abandoned},
		{"no connection", errors.Mark(errors.Mark(errors.New("no"), tablestore.ErrUnavailable), tablestore.ErrUnreachable), unreachable},
		{"no response to the attempt to connect", errors.Mark(errors.Mark(errors.Mark(errors.New("no"), tablestore.ErrUnavailable), tablestore.ErrUnreachable), tablestore.ErrConnectTimedOut), connectTimedOut},
	} {
		if got := classify(test.err); got != test.want {
			t.Errorf("%s: %d, want %d", test.name, got, test.want)
		}
	}
}

// TestPeerChecksAreRateLimited lets calls end in any way, at any time. A peer is queried only
// after three failures with no answer in between, or two that are 150 ms apart, never twice within checkInterval, and
// never once the path is lost.
func TestPeerChecksAreRateLimited(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(22)
	parameters.MinSuccessfulTests = 500
	properties := gopter.NewProperties(parameters)
	properties.Property("peer checks are bounded", prop.ForAll(func(steps []int) bool {
		var path directPath
		now := time.Unix(1_000, 0)
		var checkedAt time.Time
		failures, failingSince := 0, now
		for _, step := range steps {
			now = now.Add(time.Duration(step%7) * 40 * time.Millisecond)
			end := callEnd(step % 4)
			switch end {
			case answered:
				failures = 0
			case failed, unreachable:
				if failures == 0 {
					failingSince = now
				}
				failures++
			}
			if lostNow := path.recordEnd(end, now); lostNow && end != unreachable {
				return false
			}
			if !path.startFailureCheck(now) {
				continue
			}
			if path.lost || failures < 2 || (failures < 3 && now.Sub(failingSince) < 150*time.Millisecond) || now.Sub(checkedAt) < checkInterval {
				return false
			}
			checkedAt = now
		}
		return true
	}, gen.SliceOfN(200, gen.IntRange(0, 27))))
	properties.TestingRun(t)
}

// TestOnlyAProbeRestoresTheDirectPath checks that a lost path stays lost however its calls end,
// until a probe restores it.
func TestOnlyAProbeRestoresTheDirectPath(t *testing.T) {
	var path directPath
	if !path.recordEnd(unreachable, time.Unix(1_000, 0)) || !path.lost {
		t.Fatal("a path without connection is not lost")
	}
	path.recordEnd(answered, time.Unix(1_000, 0)) // a call in flight since before the loss
	if !path.lost {
		t.Fatal("a call in flight since before the loss restored the path")
	}
	if path.markLost() {
		t.Error("a lost path was marked as lost again")
	}
	path.restore()
	if path.lost || path.failures != 0 {
		t.Errorf("state after an answered probe: %+v", path)
	}
}
