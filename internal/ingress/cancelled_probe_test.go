package ingress

import (
	"context"
	"net"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/upstream"
)

// silentAddress returns an address at which connection attempts get no response: its queue of connections is full.
func silentAddress(t *testing.T) string {
	t.Helper()
	descriptor, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = unix.Close(descriptor) })
	if err := unix.Bind(descriptor, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(descriptor, 0); err != nil {
		t.Fatal(err)
	}
	bound, err := unix.Getsockname(descriptor)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(bound.(*unix.SockaddrInet4).Port))
	for range 16 {
		conn, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			return address
		}
		t.Cleanup(func() { _ = conn.Close() })
	}
	t.Fatal("the queue of connections does not become full")
	return ""
}

// TestCancelledProbeShowsNothing guards against requests that wait on at an engine that accepts no connections: a probe whose own request had
// ended meanwhile, since its client left, counted as a response of the engine, for all requests and for a second.
func TestCancelledProbeShowsNothing(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	pool := upstream.NewPool(upstream.Options{DialTimeout: time.Second, AckTimeout: time.Second})
	defer pool.Close()
	silent := routing.Engine{ID: "silent", Service: "s", Address: silentAddress(t)}
	other := routing.Engine{ID: "other", Service: "s", Address: listener.Addr().String()}
	view := &discovery.View{
		Table:   routing.NewTable(&routing.Configuration{Version: 1, Services: map[string]routing.Service{"s": {Name: "s"}}}),
		Engines: map[string]routing.Engine{silent.ID: silent, other.ID: other},
	}
	prober := newProber(pool, func() *discovery.View { return view }, "")
	ended, end := context.WithCancel(t.Context())
	end()
	if prober.unresponsive(ended, silent) {
		t.Error("an engine counts as unresponsive by a probe that was cancelled")
	}
	if !prober.unresponsive(t.Context(), silent) {
		t.Error("an engine that accepts no connections counts as responsive, after a probe that was cancelled")
	}
}
