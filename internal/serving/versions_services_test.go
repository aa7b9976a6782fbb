package serving_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// splitBetween returns a route whose streams clients may resume, with several services.
func splitBetween(services ...string) map[string]any {
	var backends []map[string]any
	for _, service := range services {
		backends = append(backends, map[string]any{"service": service, "weight": 1})
	}
	return route("once", "stream", "", map[string]any{"resumable": true, "backends": backends})
}

// withWriters returns a configuration with another service of engines, whose version is that of models.
func (d *deployment) withWriters(version int, routes ...map[string]any) map[string]any {
	config := configuration(version, routes...)
	config["services"] = append(config["services"].([]any),
		map[string]any{"name": "writers", "max_conns": 160, "engine": map[string]any{"tokens_per_event": 9, "kv_tokens": 100_000}})
	return config
}

// TestStreamOfASplitRouteStaysAtItsService resumes streams of a route with two services, each of one version. No process knows
// which service started them, as after a kill of all.
func TestStreamOfASplitRouteStaysAtItsService(t *testing.T) {
	d := prepare(t)
	d.addEngine("w1", "writers")
	d.store.Put("op", "", "config", d.withWriters(7, splitBetween("models", "writers")))
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	for number := range 4 {
		got, took := d.resumeStream("b"+strconv.Itoa(number), "nobodys")
		expectRefusal(t, got, took, "313", nil)
	}
}

// TestStreamOfAMovedRouteStaysAtItsService moves a route to another service of one version. A stream that no process knows may have
// started at the earlier one.
func TestStreamOfAMovedRouteStaysAtItsService(t *testing.T) {
	d := prepare(t)
	d.addEngine("w1", "writers")
	d.store.Put("op", "", "config", d.withWriters(7, onceRoute()))
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	moved := onceRoute()
	moved["service"] = "writers"
	d.store.Put("op", "", "config", d.withWriters(8, moved))
	d.eventually("served by the other service", func() bool {
		d.stream("/once/", "probe", "")
		return len(d.requestsAt("w")) > 0
	})
	got, took := d.resumeStream("b1", "nobodys")
	expectRefusal(t, got, took, "313", nil)
}

// TestRecordedTurnStaysAtTheVersionThatBeganIt resumes recorded turns at another process, whose engine makes the whole stream
// again: it is one of the version that made the events that the client has, from the first engine on. Where nobody
// knows that version, the turn is rejected.
func TestRecordedTurnStaysAtTheVersionThatBeganIt(t *testing.T) {
	const turns = 12
	first := prepare(t)
	runs := first.runTwoVersions()
	first.store.Put("op", "", "config", resumableTurns())
	for id, engine := range first.engines {
		if !strings.HasPrefix(id, "v") {
			continue
		}
		engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
			id := request.Header.Get("X-Request-Id")
			runs.record(id, engine.Version())
			if strings.HasPrefix(id, "a") {
				engine.Answer(writer, request, 2)
				return true
			}
			return false
		})
	}
	first.run("node-1", anyPort)
	second := first.runAnother("node-2", anyPort)
	for _, d := range []*deployment{first, second} {
		d.eventually("ready, with the peer found", func() bool {
			return d.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
		})
	}
	resume := func(id, resumes string) answer {
		return second.send(http.MethodPost, "/talk/1", "first;", "X-Request-Id", id, "X-Program-Id", "p"+id, "X-Session-Id", "s", "X-Token-Budget", "2304",
			"X-Token-Usage", "100,288", "X-Prompt-Prefix", "ab:64,cd:36", "X-Deadline-Ms", "4000", "Last-Event-Id", "2", "Resumes", resumes)
	}
	for number := range turns {
		started, resumed := fmt.Sprintf("a%d", number), fmt.Sprintf("b%d", number)
		first.turn("/talk/1", "p"+resumed, started, "", "first;")
		got := resume(resumed, started)
		if got.status != http.StatusOK || got.cut || len(runs.versions(started, resumed)) != 1 {
			t.Errorf("turn %d: got %+v, of versions %v and %v", number, got, runs.versions(started), runs.versions(resumed))
		}
	}
	expectRefusal(t, resume("c", "nobodys"), 0, "313", runs.versions("c"))
}
