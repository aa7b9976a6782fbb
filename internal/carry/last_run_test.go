package carry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// pausedCarrier is a carrier that answers nothing until it resumes, and everything at once then.
type pausedCarrier struct {
	resumed <-chan struct{}
	answer  []byte
}

func (p pausedCarrier) Do(ctx context.Context, _ string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	select {
	case <-p.resumed:
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
	if request.GetAskAlive() != nil {
		return &wirepb.Reply{}, nil
	}
	return &wirepb.Reply{Body: p.answer}, nil
}

// TestLateCarrierOfALastRunIsWaitedFor guards against requests that fail although their carrier was only paused: a request
// that may run on no other engine was given up as soon as the acknowledgement was overdue. A request that may run again
// leaves the carrier then, and one whose carrier does not answer at all fails soon.
func TestLateCarrierOfALastRunIsWaitedFor(t *testing.T) {
	answer, err := proto.Marshal(&wirepb.CarriedHead{Status: http.StatusOK, Body: []byte("whole")})
	if err != nil {
		t.Fatal(err)
	}
	for name, test := range map[string]struct {
		lastRun bool
		pause   time.Duration
		want    error
		within  time.Duration
	}{
		"last run, paused carrier":  {lastRun: true, pause: 500 * time.Millisecond, within: 500 * time.Millisecond},
		"may run again":             {pause: 500 * time.Millisecond, want: carry.ErrLost, within: 300 * time.Millisecond},
		"last run, carrier is lost": {lastRun: true, pause: time.Minute, want: carry.ErrLost, within: 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				start := time.Now()
				resumed, resume := context.WithTimeout(context.Background(), test.pause)
				defer resume()
				client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
				client.SetNodes(pausedCarrier{resumed: resumed.Done(), answer: answer}, "self", []carry.Node{{Address: "carrier"}})
				response, err := client.Send(t.Context(), "carrier", carry.Request{Deadline: start.Add(clientTimeout), LastRun: test.lastRun})
				if took := time.Since(start); took > test.within {
					t.Errorf("took %s, want at most %s", took, test.within)
				}
				if test.want != nil {
					if !errors.Is(err, test.want) {
						t.Errorf("got error %v, want %v", err, test.want)
					}
					return
				}
				if err != nil {
					t.Fatal(err)
				}
				if content, err := readAll(response); err != nil || content != "whole" {
					t.Errorf("got body %q, %v", content, err)
				}
			})
		})
	}
}
