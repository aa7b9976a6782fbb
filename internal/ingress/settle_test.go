package ingress

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// TestRecordOfALongInputHasTheTimeThatTheClientStates checks turns with short and long inputs.
func TestRecordOfALongInputHasTheTimeThatTheClientStates(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		input      int
		left, want time.Duration
	}{
		{100, 30 * time.Second, minClientTimeout - answerEndMargin},
		{500 << 10, 30 * time.Second, minClientTimeout - answerEndMargin},
		{4 << 20, 30 * time.Second, 30*time.Second - answerEndMargin},
		{4 << 20, time.Second, time.Second - answerEndMargin},
		{4 << 20, -time.Second, minSettleTimeout},
	} {
		s := stream{request: &request{route: &routing.Route{}, deadline: now.Add(test.left)}, input: make([]byte, test.input)}
		if got := s.recordTimeout(now); got != test.want {
			t.Errorf("%d bytes, %s left: %s, want %s", test.input, test.left, got, test.want)
		}
	}
}

// TestSettleTimeoutEndsWithTheClientTimeout checks clients whose timeout or whose deadline ends first.
// The margin for the last bytes is less than a slow table may need for the record.
func TestSettleTimeoutEndsWithTheClientTimeout(t *testing.T) {
	now := time.Now()
	for _, test := range []struct{ left, want time.Duration }{
		{10 * time.Second, minClientTimeout - answerEndMargin},
		{900 * time.Millisecond, 900*time.Millisecond - answerEndMargin},
		{-time.Second, minSettleTimeout},
	} {
		r := &request{route: &routing.Route{}, deadline: now.Add(test.left)}
		if got := r.settleTimeout(now); got != test.want {
			t.Errorf("with %s left the settle timeout is %s, want %s", test.left, got, test.want)
		}
	}
}
