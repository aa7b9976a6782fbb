package serving_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestStartingEngineIsNotOverloaded starts an engine while a process serves, and sends it all requests. The engine gets no
// more than its cold limit, the rest is rejected with a Retry-After header, and the log and the metrics show the reason.
func TestStartingEngineIsNotOverloaded(t *testing.T) {
	d := start(t)
	bounded := standard()
	bounded["services"] = []any{
		map[string]any{"name": "models", "max_conns": 160, "engine": map[string]any{"tokens_per_event": 9, "kv_tokens": 100_000}},
		map[string]any{"name": "portal", "max_conns": 110, "cold_s": 60.0, "cold_per_s": 3.0},
	}
	d.store.Put("op", "", "config", bounded)
	d.eventually("ready", d.process.Ready)
	d.eventually("warm", func() bool {
		return d.send(http.MethodGet, "/safe/x", "", "X-Request-Id", "first").status == http.StatusOK
	})

	fresh := d.addEngine("p3", "portal")
	for _, id := range []string{"p1", "p2"} {
		d.store.Put("servers", "", id, d.engines[id].StoreEntry("portal", "draining"))
	}
	d.eventually("cold", func() bool { return strings.Contains(d.log.String(), `"engine cold"`) })
	d.eventually("without the draining engines", func() bool { return strings.Contains(d.log.String(), `"engines_ready":3`) })

	refused := 0
	for i := range 6 {
		got := d.send(http.MethodGet, fmt.Sprintf("/safe/%d", i), "", "X-Request-Id", fmt.Sprintf("r-%d", i))
		if got.status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		if got.header.Get("Retry-After") == "" {
			t.Errorf("rejected without Retry-After: %+v", got)
		}
	}
	if ran := len(fresh.Requests()); ran == 0 || ran > 3 || refused != 6-ran {
		t.Errorf("%d requests ran at the engine and %d were rejected, want 1 to 3 and the others", ran, refused)
	}
	d.eventually("logged", func() bool { return strings.Contains(d.log.String(), `"word":"new_incarnation"`) })
	if text := d.metricsText(); !strings.Contains(text, "pewtermill_serve_engines_cold 1") {
		t.Error("the metrics do not show the cold engine")
	}
}

// TestLinesOfColdEnginesAreBounded starts 200 engines at once. Few log records are written, with the number of suppressed ones.
func TestLinesOfColdEnginesAreBounded(t *testing.T) {
	d := start(t)
	bounded := standard()
	bounded["services"] = []any{
		map[string]any{"name": "models", "max_conns": 160, "engine": map[string]any{"tokens_per_event": 9, "kv_tokens": 100_000}},
		map[string]any{"name": "portal", "max_conns": 110, "cold_s": 60.0, "cold_per_s": 3.0},
	}
	d.store.Put("op", "", "config", bounded)
	d.eventually("ready", d.process.Ready)
	began := time.Now()
	const engines = 200
	for number := range engines {
		d.store.Put("servers", "", fmt.Sprintf("x%03d", number), d.engines["p1"].StoreEntry("portal", "ready"))
	}
	d.eventually("cold", func() bool { return d.hasMetric("pewtermill_serve_engines_cold", fmt.Sprint(engines)) })
	more, next := 0, time.Now()
	d.eventually("logging one more engine, once the period of the log limit has passed", func() bool {
		if now := time.Now(); now.After(next) {
			more, next = more+1, now.Add(time.Second/4) // a quarter of the period of the log limit
			d.store.Put("servers", "", fmt.Sprintf("more%03d", more), d.engines["p1"].StoreEntry("portal", "ready"))
		}
		return strings.Contains(d.log.String(), `"engine cold","engine":"more`)
	})
	lines, leftOut := 0, 0
	for line := range strings.Lines(d.log.String()) {
		var record struct {
			Message string `json:"msg"`
			LeftOut int    `json:"left_out"`
		}
		if err := json.Unmarshal([]byte(line), &record); err != nil {
			t.Fatal(err)
		}
		if record.Message == "engine cold" {
			lines, leftOut = lines+1, leftOut+record.LeftOut
		}
	}
	if limit := 20 * (int(time.Since(began)/time.Second) + 2); lines > limit || lines+leftOut > engines+more || lines+leftOut <= engines {
		t.Errorf("%d records for %d engines that turned cold, %d suppressed; want %d records at most", lines, engines+more, leftOut, limit)
	}
}

// TestProcessThatJoinsSharesTheColdLimitAtOnce guards against more requests to a cold engine than its limit while processes join:
// one that lists no other leaves a part of the limit to the one that joins, before it reads the list of processes again.
func TestProcessThatJoinsSharesTheColdLimitAtOnce(t *testing.T) {
	const alone, shared = "6", "3" // requests left of a limit of 10 in a second
	d := prepare(t)
	bounded := standard()
	bounded["services"] = []any{
		map[string]any{"name": "models", "max_conns": 160, "engine": map[string]any{"tokens_per_event": 9, "kv_tokens": 100_000}},
		map[string]any{"name": "portal", "max_conns": 110, "cold_s": 60.0, "cold_per_s": 9.0},
	}
	d.store.Put("op", "", "config", bounded)
	d.run("node-1", anyPort)
	d.eventually("ready", d.process.Ready)
	d.addEngine("p3", "portal")
	d.eventually("using the whole limit", func() bool { return d.hasMetric("pewtermill_serve_cold_requests_left", alone) })
	d.runAnother("node-2", anyPort)
	d.eventually("using its part", func() bool { return d.hasMetric("pewtermill_serve_cold_requests_left", shared) })
}
