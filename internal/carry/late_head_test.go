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

// lateHead is a carrier whose head of the answer, with the first event, is read just after the request was cancelled.
type lateHead struct {
	acknowledges bool // at once
	head         []byte
}

func (l lateHead) Do(ctx context.Context, _ string, _ *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	if l.acknowledges {
		onPart(0, nil)
	}
	<-ctx.Done()
	onPart(0, l.head)
	return nil, context.Cause(ctx)
}

// sendToLateHead sends a request through such a carrier. It fails the test if there is an answer, and returns the error.
func sendToLateHead(ctx context.Context, t *testing.T, acknowledges bool) error {
	t.Helper()
	head, err := proto.Marshal(&wirepb.CarriedHead{Status: http.StatusOK, Body: []byte("data: first\n\n")})
	if err != nil {
		t.Fatal(err)
	}
	client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
	client.SetNodes(lateHead{acknowledges, head}, "self", []carry.Node{{Address: "carrier"}})
	response, err := client.Send(ctx, "carrier", carry.Request{Deadline: time.Now().Add(clientTimeout)})
	if err == nil {
		content, bodyErr := readAll(response)
		t.Errorf("got an answer with status %d and body %q, which ends with %v", response.StatusCode, content, bodyErr)
	}
	synctest.Wait()
	return err
}

// TestHeadAfterTheAckTimeoutIsNoAnswer guards against answers that begin and are cut: a head that is read after its
// request was cancelled for want of an acknowledgement was returned as the answer, though the rest of it could not follow.
func TestHeadAfterTheAckTimeoutIsNoAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		if err := sendToLateHead(t.Context(), t, false); err != nil && !errors.Is(err, carry.ErrLost) {
			t.Errorf("got error %v, want ErrLost", err)
		}
	})
}

// TestHeadAfterCancellationIsNoAnswer guards against the same where the carrier had acknowledged the request and its sender cancelled
// it, as the watchdog does for a carrier that does not respond.
func TestHeadAfterCancellationIsNoAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancelCause(t.Context())
		time.AfterFunc(time.Second, func() { cancel(errors.New("the carrier does not respond")) })
		_ = sendToLateHead(ctx, t, true) // any error will do
	})
}
