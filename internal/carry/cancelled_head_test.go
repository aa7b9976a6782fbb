package carry_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/carry"
	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// cancelledHead is a carrier that acknowledges a request, and whose head with the first event is read just after the request
// was cancelled.
type cancelledHead struct {
	head []byte
}

func (c cancelledHead) Do(ctx context.Context, _ string, _ *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	onPart(0, nil)
	<-ctx.Done()
	onPart(0, c.head)
	return nil, context.Cause(ctx)
}

// TestHeadAfterCancellationIsNoAnswer guards against answers that begin and are cut: a head that is read after the caller has cancelled
// the request, as the watchdog does for a carrier that does not respond, was returned as the answer, though the rest of it could not
// follow.
func TestHeadAfterCancellationIsNoAnswer(t *testing.T) {
	head, err := proto.Marshal(&wirepb.CarriedHead{Status: http.StatusOK, Body: []byte("data: first\n\n")})
	if err != nil {
		t.Fatal(err)
	}
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(errors.New("the carrier does not respond")) })
		client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
		client.SetNodes(cancelledHead{head}, "self", []carry.Node{{Address: "carrier"}})
		response, err := client.Send(ctx, "carrier", carry.Request{Deadline: time.Now().Add(clientTimeout)})
		if err == nil {
			content, bodyErr := readAll(response)
			t.Errorf("got an answer with status %d and body %q, which ends with %v", response.StatusCode, content, bodyErr)
		}
		synctest.Wait()
	})
}
