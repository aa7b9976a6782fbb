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
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// carriedAnswer is a carrier that returns the same answer to each request.
type carriedAnswer struct{ head []byte }

func (c carriedAnswer) Do(context.Context, string, *wirepb.Request, func(offset int64, text []byte)) (*wirepb.Reply, error) {
	return &wirepb.Reply{Body: c.head}, nil
}

// TestCarriedAnswerMustHaveAProperHead checks that a carrier which sends on an invalid head, as earlier builds do, returns no answer.
func TestCarriedAnswerMustHaveAProperHead(t *testing.T) {
	for _, test := range []struct {
		name, header string
		status       int32
		isProper     bool
	}{
		{"proper", "X-Own", http.StatusOK, true},
		{"blank at the end", "Content-Length ", http.StatusOK, false},
		{"blank within", "Transfer Encoding", http.StatusOK, false},
		{"control byte", "X-Own\x01", http.StatusOK, false},
		{"no name", "", http.StatusOK, false},
		{"status 0", "X-Own", 0, false},
		{"status 99", "X-Own", 99, false},
		{"status 101", "X-Own", http.StatusSwitchingProtocols, false},
		{"status -1", "X-Own", -1, false},
		{"status 1000", "X-Own", 1000, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			head, err := proto.Marshal(&wirepb.CarriedHead{Status: test.status, Body: []byte("whole"),
				Headers: []*wirepb.CarryRequest_Header{{Name: test.header, Values: [][]byte{[]byte("2")}}}})
			if err != nil {
				t.Fatal(err)
			}
			client := carry.NewClient(carry.ClientOptions{MinNodes: 1, Node: "sender", IdleConnections: func(upstream.Destination) int { return 0 }})
			client.SetNodes(carriedAnswer{head}, "self", []carry.Node{{Address: "carrier"}})
			response, err := client.Send(t.Context(), "carrier", carry.Request{Deadline: time.Now().Add(clientTimeout)})
			if err == nil {
				defer response.Body.Close()
			}
			if test.isProper != (err == nil) || !test.isProper && !errors.Is(err, carry.ErrLost) {
				t.Errorf("got %v", err)
			}
		})
	}
}
