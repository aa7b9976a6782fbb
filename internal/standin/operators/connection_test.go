package operators_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// dialServer returns a connection to a server that responds with the given headers.
func dialServer(t *testing.T, header http.Header) (*operators.Connection, *httptest.Server) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(writer http.ResponseWriter, _ *http.Request) {
		for name := range header {
			writer.Header().Set(name, header.Get(name))
		}
	}))
	t.Cleanup(server.Close)
	connection, err := operators.Dial(t.Context(), strings.TrimPrefix(server.URL, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(connection.Close)
	return connection, server
}

var getRequest = operators.ClientRequest{Method: http.MethodGet, Path: "/x", ID: "1"}

// TestReusableFollowsResponseHeaders sends a request on connections whose responses limit reuse differently.
func TestReusableFollowsResponseHeaders(t *testing.T) {
	for name, test := range map[string]struct {
		header  http.Header
		maxIdle time.Duration
		want    bool
	}{
		"no headers":       {http.Header{}, time.Hour, true},
		"idle too long":    {http.Header{}, 0, false},
		"connection close": {http.Header{"Connection": {"close"}}, time.Hour, false},
		"zero keep-alive":  {http.Header{"Keep-Alive": {"timeout=0"}}, time.Hour, false},
		"60 s keep-alive":  {http.Header{"Keep-Alive": {"timeout=60"}}, time.Hour, true},
	} {
		connection, _ := dialServer(t, test.header)
		if sent := connection.Send(t.Context(), "h", getRequest, time.Millisecond); sent.Status != http.StatusOK || !sent.AllBytesSent {
			t.Errorf("%s: got %+v", name, sent)
		}
		if got := connection.Reusable(test.maxIdle); got != test.want {
			t.Errorf("%s: reusable %t, want %t", name, got, test.want)
		}
	}
}

// TestSendingTookCoversThePause sends requests with and without a pause.
func TestSendingTookCoversThePause(t *testing.T) {
	connection, _ := dialServer(t, nil)
	for _, pause := range []time.Duration{0, 50 * time.Millisecond} {
		if sent := connection.Send(t.Context(), "h", getRequest, pause); sent.SendingTook < pause || pause == 0 && sent.SendingTook != 0 {
			t.Errorf("a request with a pause of %s took %s to send", pause, sent.SendingTook)
		}
	}
}

// TestNothingIsSentOnAClosedConnection closes the connection at the server before the second request.
func TestNothingIsSentOnAClosedConnection(t *testing.T) {
	connection, server := dialServer(t, nil)
	connection.Send(t.Context(), "h", getRequest, 0)
	server.CloseClientConnections()
	for end := time.Now().Add(10 * time.Second); connection.IsOpen(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("connection still appears open after 10 s")
		}
	}
	if sent := connection.Send(t.Context(), "h", getRequest, 0); sent.FirstBytesSent || !errors.Is(sent.Err, operators.ErrPeerClosed) {
		t.Errorf("got %+v", sent)
	}
}
