package serving_test

import (
	"net/http"
	"strings"
	"testing"
)

// TestPanicIsAnswered shows that a request whose handler fails gets an answer that promises
// nothing, and that the log says where it failed.
func TestPanicIsAnswered(t *testing.T) {
	d := serve(t)
	d.panics.Store(true)
	got := d.ask(http.MethodPost, "/unsafe/", "x", "X-Request-Id", "r1")
	if got.status != http.StatusInternalServerError {
		t.Fatalf("got %+v, want 500", got)
	}
	d.eventually("logged", func() bool {
		log := d.log.String()
		return strings.Contains(log, "panic: no headers today") && strings.Contains(log, `"request":"r1"`)
	})
}
