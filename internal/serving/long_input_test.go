package serving_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestRetainedInputUpToTheBodyLimitIsServed guards against refusing a proper turn: its new input is within the body limit of the
// configuration, and longer than what one transaction of the store holds. The next turn continues from it.
func TestRetainedInputUpToTheBodyLimitIsServed(t *testing.T) {
	const bodyLimit = 4 << 20
	d := start(t)
	limited := standard()
	limited["limits"].(map[string]any)["body_bytes"] = bodyLimit
	d.store.Put("op", "", "config", limited)
	d.eventually("ready", d.process.Ready)
	for name, size := range map[string]int{"control": 400 << 10, "first": 600 << 10, "second": 1100 << 10, "third": 3 << 20} {
		input := strings.Repeat("x", size)
		if got := d.turn("/kept/", "p-"+name, name, "", input); got.status != http.StatusOK || got.cut {
			t.Errorf("a turn with %d bytes of new input got status %d, cut %t: %s", size, got.status, got.cut, got.body)
			continue
		}
		next := name + "-next"
		if got := d.turn("/kept/", "p-"+name, next, name, "y"); got.status != http.StatusOK || got.cut {
			t.Errorf("the next turn got status %d, cut %t: %s", got.status, got.cut, got.body)
		}
		for _, request := range d.requestsAt("m") {
			if request.Header.Get("X-Request-Id") == next && request.Body != input+"event 1\nevent 2\nevent 3\nevent 4\ny" {
				t.Errorf("the next turn of %d bytes ran with %d bytes", size, len(request.Body))
			}
		}
	}
}
