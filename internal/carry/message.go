package carry

import (
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/upstream"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// maxHeadBytes is the largest head of an answer that is carried. It is sent in one part of a
// stream, which is 64 KiB at most.
const maxHeadBytes = 48 << 10

// Request is a request to an engine, to be sent through a peer.
type Request struct {
	upstream.Request // the peer sets Accept

	Engine    string // identity of the incarnation
	Address   string // of the engine
	CallID    string // id of the request, which the answer must repeat
	LastEvent string // event after which a stream continues; empty if the client's own event applies
	Tenant    string
	Deadline  time.Time // after which the answer is of no use
	// LastRun means that the request may run on no other engine if this send ends without an answer.
	LastRun bool
}

// destination returns the destination of connections for the request.
func (r Request) destination() upstream.Destination {
	return upstream.Destination{Incarnation: r.Engine, Address: r.Address}
}

// encode returns the request as a message to a peer.
func (r Request) encode(from string, now time.Time) *wirepb.Request {
	return &wirepb.Request{
		From:          from,
		TimeoutMillis: max(1, r.Deadline.Sub(now).Milliseconds()),
		Body: &wirepb.Request_CarryRequest{CarryRequest: &wirepb.CarryRequest{
			Engine:    r.Engine,
			Address:   r.Address,
			Call:      []byte(r.CallID),
			Method:    r.Method,
			Target:    []byte(r.Target),
			Host:      r.Host,
			Headers:   encodeHeaders(r.Header),
			Body:      r.Body,
			LastEvent: []byte(r.LastEvent),
			Tenant:    r.Tenant,
		}},
	}
}

// encodeHeaders returns headers in the order of their names, whose spelling it keeps.
func encodeHeaders(header http.Header) []*wirepb.CarryRequest_Header {
	names := make([]string, 0, len(header))
	for name := range header {
		names = append(names, name)
	}
	slices.Sort(names)
	encoded := make([]*wirepb.CarryRequest_Header, 0, len(names))
	for _, name := range names {
		values := make([][]byte, 0, len(header[name]))
		for _, value := range header[name] {
			values = append(values, []byte(value))
		}
		encoded = append(encoded, &wirepb.CarryRequest_Header{Name: name, Values: values})
	}
	return encoded
}

func decodeHeaders(encoded []*wirepb.CarryRequest_Header) http.Header {
	header := make(http.Header, len(encoded))
	for _, field := range encoded {
		values := make([]string, 0, len(field.GetValues()))
		for _, value := range field.GetValues() {
			values = append(values, string(value))
		}
		header[field.GetName()] = values
	}
	return header
}

// encodeHead encodes the head of an answer, and the first piece of its body, as one part.
func encodeHead(response *http.Response, first []byte) ([]byte, error) {
	encoded, err := proto.Marshal(&wirepb.CarriedHead{
		Status:  int32(response.StatusCode),
		Headers: encodeHeaders(response.Header),
		Body:    first,
	})
	if err != nil {
		return nil, errors.Wrap(err, "encode the head of an answer")
	}
	if len(encoded) > maxHeadBytes {
		return nil, errors.Newf("the head of an answer has %d bytes, the limit is %d", len(encoded), maxHeadBytes)
	}
	return encoded, nil
}

// decodeHead decodes the head of an answer, and the first piece of its body.
func decodeHead(encoded []byte) (*http.Response, []byte, error) {
	var head wirepb.CarriedHead
	if err := proto.Unmarshal(encoded, &head); err != nil {
		return nil, nil, errors.Wrap(err, "decode the head of an answer")
	}
	if head.GetStatus() < http.StatusOK || head.GetStatus() > 999 {
		return nil, nil, errors.Newf("the peer's answer has invalid status %d", head.GetStatus())
	}
	response := &http.Response{StatusCode: int(head.GetStatus()), Header: decodeHeaders(head.GetHeaders())}
	// A peer of an earlier build sends on what its engine has sent.
	if err := upstream.CheckHeaderNames(response.Header); err != nil {
		return nil, nil, err
	}
	return response, head.GetBody(), nil
}
