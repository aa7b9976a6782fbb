package wire

import (
	"net"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// closableListener accepts nothing.
type closableListener struct{ net.Listener }

// Close implements net.Listener.
func (closableListener) Close() error { return nil }

// TestDrainWaitsForAPeerThatStandsStill guards against requests of unknown outcome at a planned stop: a peer stood still for .8 s and had not
// read the drain notice yet as its connection was closed, with requests on their way that did not run.
func TestDrainWaitsForAPeerThatStandsStill(t *testing.T) {
	const pause = 800 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		server := &Server{listener: closableListener{}}
		server.connections.begin()
		time.AfterFunc(pause, server.connections.end) // the peer reads the notice and closes its connection
		start := time.Now()
		if err := server.Drain(t.Context()); err != nil || time.Since(start) != pause {
			t.Errorf("the drain ended after %s with %v, want %s, once the peer has closed its connection", time.Since(start), err, pause)
		}
	})
}
