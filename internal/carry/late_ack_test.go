package carry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// lateAcknowledger is a carrier that acknowledges a request late, answers it after a second, and does not answer whether it runs.
type lateAcknowledger struct {
	acknowledgesAfter time.Duration
	answer            []byte
}

func (l lateAcknowledger) Do(ctx context.Context, _ string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	if request.GetAskAlive() != nil {
		<-ctx.Done()
		return nil, context.Cause(ctx)
	}
	for _, step := range []time.Duration{l.acknowledgesAfter, time.Second} {
		select {
		case <-time.After(step): // virtual time
		case <-ctx.Done():
			return nil, context.Cause(ctx)
		}
		onPart(0, nil)
	}
	return &wirepb.Reply{Body: l.answer}, nil
}

// TestAcknowledgementDuringTheQueryCounts guards against a request that is given up though its carrier has acknowledged it: a request that
// may run on no other engine asks a late carrier whether it runs, and the acknowledgement came before the query had failed.
func TestAcknowledgementDuringTheQueryCounts(t *testing.T) {
	answer, err := proto.Marshal(&wirepb.CarriedHead{Status: http.StatusOK, Body: []byte("whole")})
	if err != nil {
		t.Fatal(err)
	}
	virtualtime.Test(t, func(t *testing.T) {
		client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
		client.SetNodes(lateAcknowledger{acknowledgesAfter: 350 * time.Millisecond, answer: answer}, "self", []carry.Node{{Address: "carrier"}})
		response, err := client.Send(t.Context(), "carrier", carry.Request{Deadline: time.Now().Add(clientTimeout), LastRun: true})
		if err != nil {
			t.Fatal(err)
		}
		if content, err := readAll(response); err != nil || content != "whole" {
			t.Errorf("got body %q, %v", content, err)
		}
	})
}
