package origins

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestOriginSentBackByAStoppingPeerStaysBegun has a node begin a stream and tell its peers, all of which then stop one after another and hand
// over what they store, also to that node. It still counts the stream as begun by itself, with the start of its engine.
func TestOriginSentBackByAStoppingPeerStaysBegun(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const nodes = 3
		f := newFleet(nodes)
		first, stream := f.node(0), origin("a", "v2", 1)
		stream.EngineStart = 7
		first.Begin(stream, BeginOptions{ResumeWindow: MinResumeWindow}).Wait(t.Context())
		first.Began(stream)
		time.Sleep(10 * time.Millisecond)
		for number := range nodes - 1 {
			peer := f.node(number + 1)
			peer.server.StopAccepting()
			peer.ReplicateAll()
		}
		begun := first.memory.Begun(time.Now())
		if len(begun) != 1 || begun[0].EngineStart != stream.EngineStart {
			t.Errorf("begun: %+v, want the stream with its engine's start", begun)
		}
	})
}
