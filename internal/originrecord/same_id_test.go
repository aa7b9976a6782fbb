package originrecord

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestRowFollowsAStreamThatBeginsAgain has two callers use one ID after each other: the stream begins at v1 and is recorded, and begins
// again at v2. The row must not go on naming v1.
func TestRowFollowsAStreamThatBeginsAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first := startProcess(t, "a", store)
		first.client.Began(first.send("stream", "v1", 1))
		time.Sleep(2 * minWritePeriod)
		first.client.Began(first.send("stream", "v2", 1))
		time.Sleep(streamTime / 2)
		first.kill()
		second := startProcess(t, "b", store)
		if got := second.origin("stream"); got == "v1" {
			t.Errorf("got version %q of a stream that began at v2 for %s, want v2 or none", got, streamTime/2)
		}
		second.kill()
	})
}

// TestBegunIsOfTheSendThatGaveTheEvent has two callers use one ID at once: the first event comes from v1 after the ID was sent to v2.
func TestBegunIsOfTheSendThatGaveTheEvent(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		p := startProcess(t, "a", store)
		first := p.send("stream", "v1", 1)
		p.send("stream", "v2", 1)
		p.client.Began(first)
		time.Sleep(2 * minWritePeriod)
		if got := p.origin("stream"); got == "v2" {
			t.Errorf("got version %q of a stream of which v1 alone gave an event", got)
		}
		p.kill()
	})
}
