package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestTurnsAreCoveredByAPeer runs two processes before one store. Turns of programs that
// the other one owns are covered there, and the log and the metrics tell.
func TestTurnsAreCoveredByAPeer(t *testing.T) {
	d := prepare(t)
	d.run("node-1", freeAddress(t))
	other := d.beside("node-2", freeAddress(t))
	d.store.Put("op", "", "config", standard())
	d.eventually("ready", func() bool { return d.process.Ready() && other.process.Ready() })
	turns := 0
	d.eventually("covered by the peer", func() bool {
		turns++
		got := d.turn("/resumed/", fmt.Sprintf("p%d", turns), fmt.Sprintf("t%d", turns), "", "x")
		if got.status != http.StatusOK || got.body != fourEvents {
			t.Fatalf("turn %d got %+v", turns, got)
		}
		return strings.Contains(d.log.String(), `"allowance_at":"`+other.peers+`"`)
	})
	d.eventually("settled", func() bool {
		return strings.Contains(other.metricsText(), "pewtermill_serve_grants 0")
	})
	if text := d.metricsText(); !strings.Contains(text, `pewtermill_serve_turns_covered_total{allowance="peer"}`) {
		t.Errorf("the metrics do not tell that a peer covered turns:\n%s", text)
	}
}
