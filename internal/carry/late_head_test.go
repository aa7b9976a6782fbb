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

// lateHead is a carrier whose first part, the head of the answer with its first event, is read just after the
// sender has given the request up.
type lateHead struct {
	head []byte
}

func (l lateHead) Do(ctx context.Context, _ string, _ *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error) {
	<-ctx.Done()
	onPart(0, l.head)
	return nil, context.Cause(ctx)
}

// TestHeadAfterTheAckTimeoutIsNoAnswer guards against answers that begin and are cut: a head that is read after its
// request was cancelled for want of an acknowledgement was returned as the answer, though the rest of it could not follow.
func TestHeadAfterTheAckTimeoutIsNoAnswer(t *testing.T) {
	head, err := proto.Marshal(&wirepb.CarriedHead{Status: http.StatusOK, Body: []byte("data: first\n\n")})
	if err != nil {
		t.Fatal(err)
	}
	virtualtime.Test(t, func(t *testing.T) {
		client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
		client.SetNodes(lateHead{head}, "self", []carry.Node{{Address: "carrier"}})
		response, err := client.Send(t.Context(), "carrier", carry.Request{Deadline: time.Now().Add(clientTimeout)})
		if err == nil {
			content, bodyErr := readAll(response)
			t.Errorf("got an answer with status %d and body %q, which ends with %v", response.StatusCode, content, bodyErr)
		} else if !errors.Is(err, carry.ErrLost) {
			t.Errorf("got error %v, want ErrLost", err)
		}
		synctest.Wait()
	})
}
