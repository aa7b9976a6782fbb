package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// resumableTurns returns a configuration with a route of recorded turns whose streams clients may resume.
func resumableTurns() map[string]any {
	return configuration(7, route("talk", "stream", "models", map[string]any{"retain": true, "resumable": true, "max_attempts": 3}))
}

// serveTalk starts a process with that configuration.
func serveTalk(t *testing.T) *deployment {
	t.Helper()
	d := start(t)
	d.store.Put("op", "", "config", resumableTurns())
	d.eventually("ready", d.process.Ready)
	return d
}

// resumeTurn sends a turn as a client does that has received some of its events at another process.
func (d *deployment) resumeTurn(id, lastEvent, body string) answer {
	return d.send(http.MethodPost, "/talk/1", body, "X-Request-Id", id, "X-Program-Id", "p", "X-Session-Id", "s", "X-Token-Budget", "2304",
		"X-Token-Usage", "100,288", "X-Prompt-Prefix", "ab:64,cd:36", "X-Deadline-Ms", "4000", "Last-Event-Id", lastEvent)
}

// wholeHistory is the conversation after the first turn of these tests, which has four events.
const wholeHistory = "first;event 1\nevent 2\nevent 3\nevent 4\n"

// checkConversation continues from a turn and checks what the engine gets.
func (d *deployment) checkConversation(previous string) {
	d.t.Helper()
	d.handleAll("m", nil)
	next := d.turn("/talk/1", "p", "next", previous, "second;")
	if next.status != http.StatusOK || next.cut {
		d.t.Fatalf("the next turn: %+v", next)
	}
	for _, request := range d.requestsAt("m") {
		if request.Header.Get("X-Request-Id") == "next" && request.Body != wholeHistory+"second;" {
			d.t.Errorf("the engine got %q, want %q", request.Body, wholeHistory+"second;")
		}
	}
}

// TestResumedTurnIsRecordedWhole guards against recording a turn without the events that its client had received at another
// process: the next turn was run without them, and nobody was told.
func TestResumedTurnIsRecordedWhole(t *testing.T) {
	for lastEvent, want := range map[string]string{
		"1": "id: 2\ndata: event 2\n\nid: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\n",
		"3": "id: 4\ndata: event 4\n\n",
		"4": "", // all events were received, and not the end
	} {
		t.Run(lastEvent, func(t *testing.T) {
			d := serveTalk(t)
			got := d.resumeTurn("t1", lastEvent, "first;")
			if got.status != http.StatusOK || got.cut || got.body != want {
				t.Fatalf("got %+v, want %q", got, want)
			}
			d.checkConversation("t1")
		})
	}
}

// TestResumedTurnIsRecordedWholeAfterABreak makes the engine of a resumed turn break off before and after the event that the
// client has received last.
func TestResumedTurnIsRecordedWholeAfterABreak(t *testing.T) {
	for _, brokenAfter := range []int{0, 1, 2, 3} {
		t.Run(fmt.Sprint(brokenAfter), func(t *testing.T) {
			d := serveTalk(t)
			var broken atomic.Bool
			for id, engine := range d.engines {
				if !strings.HasPrefix(id, "m") {
					continue
				}
				engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
					if broken.Swap(true) {
						return false
					}
					engine.Answer(writer, request, brokenAfter)
					return true
				})
			}
			got := d.resumeTurn("t1", "2", "first;")
			if got.status != http.StatusOK || got.cut || got.body != "id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\n" {
				t.Fatalf("got %+v", got)
			}
			d.checkConversation("t1")
		})
	}
}

// TestResumedTurnThatEndsEarlierIsNotRecorded resumes a turn behind an event that the engine does not get to: what the
// client has received is not what would be recorded.
func TestResumedTurnThatEndsEarlierIsNotRecorded(t *testing.T) {
	for _, lastEvent := range []string{"5", "later"} {
		t.Run(lastEvent, func(t *testing.T) {
			d := serveTalk(t)
			if got := d.resumeTurn("t1", lastEvent, "first;"); got.status == http.StatusOK && !got.cut {
				t.Errorf("the answer looks complete: %+v", got)
			}
			if next := d.turn("/talk/1", "p", "next", "t1", "second;"); next.status != http.StatusNotFound {
				t.Errorf("the next turn: got %d, want 404: the turn was not answered", next.status)
			}
		})
	}
}
