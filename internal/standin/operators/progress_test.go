package operators

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// TestReplyTellsHowFarItsExchangeGot sends a request that is answered, and one that a listener never accepts.
func TestReplyTellsHowFarItsExchangeGot(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	reply := Send(t.Context(), strings.TrimPrefix(server.URL, "http://"), "host", ClientRequest{Method: http.MethodGet, Path: "/"})
	if p := reply.Progress; reply.Status != http.StatusOK || p.Connected.IsZero() || p.Sent.Before(p.Connected) || p.Begun.Before(p.Sent) || p.Unread != 0 {
		t.Errorf("answered: %+v", reply)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	ctx, leave := context.WithCancel(t.Context())
	leave()
	reply = Send(ctx, listener.Addr().String(), "host", ClientRequest{Method: http.MethodGet, Path: "/"})
	if p := reply.Progress; reply.Err == nil || !p.Begun.IsZero() || p.Unread != 0 {
		t.Errorf("never answered: %+v", reply)
	}
}

// TestUnreadBytes writes to a connection that nobody reads.
func TestUnreadBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	connection, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer connection.Close()
	peer, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	if got := unreadBytes(connection); got != 0 {
		t.Errorf("%d bytes before anything was written", got)
	}
	if _, err := peer.Write([]byte("answer")); err != nil {
		t.Fatal(err)
	}
	if got := unreadBytes(connection); got != len("answer") {
		t.Errorf("%d bytes unread, want %d", got, len("answer"))
	}
	if got := unreadBytes(nil); got != 0 {
		t.Errorf("%d bytes without a connection", got)
	}
}
