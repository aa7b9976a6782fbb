package operators

import (
	"context"
	"net/http"
	"sync/atomic"
)

// SendPart sends a request whose body has size bytes, of which only the first part is sent, and waits for a response until ctx ends.
// sentPart reports whether the part was written in full, as far as the client can tell.
func SendPart(ctx context.Context, address, host string, clientRequest ClientRequest, size, part int) (reply Reply, sentPart bool) {
	request, err := clientRequest.request(ctx, address, host)
	if err != nil {
		return Reply{Err: err}, false
	}
	body := &stalledBody{remaining: part, ended: ctx.Done()}
	request.Body, request.ContentLength, request.GetBody = body, int64(size), nil
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Reply{Err: err}, body.sent.Load()
	}
	defer response.Body.Close()
	return replyOf(response), body.sent.Load()
}

// stalledBody is a body that does not go on after a part, until the request ends.
type stalledBody struct {
	remaining int
	ended     <-chan struct{}
	sent      atomic.Bool // the part was read in full
}

// Read implements io.Reader.
func (b *stalledBody) Read(buffer []byte) (int, error) {
	if b.remaining > 0 {
		count := min(len(buffer), b.remaining)
		clear(buffer[:count])
		b.remaining -= count
		return count, nil
	}
	b.sent.Store(true)
	<-b.ended
	return 0, context.Canceled
}

// Close implements io.Closer.
func (b *stalledBody) Close() error { return nil }
