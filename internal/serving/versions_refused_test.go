package serving_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// expectRefusal checks that a resumed stream was rejected at once as not run, and that no engine ran it.
func expectRefusal(t *testing.T, got answer, took time.Duration, code string, ran map[string]bool) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"code":`+code) || !strings.Contains(got.body, `"execution":"not_run"`) {
		t.Errorf("got %+v, want 503 with code %s and not run", got, code)
	}
	if took > time.Second || len(ran) > 0 {
		t.Errorf("it took %s, and ran at %v", took, ran)
	}
}

// resumeStream resumes a stream at a process, and returns how long the response took.
func (d *deployment) resumeStream(id, resumes string) (got answer, took time.Duration) {
	start := time.Now()
	got = d.stream("/once/", id, resumes)
	return got, time.Since(start)
}

// TestStreamOfUnknownVersionIsRefused guards against a guess: two versions serve, and no process knows which of them first
// served a stream, as after the loss of its node and of its replica peers. The same holds if a client does not name the first attempt.
func TestStreamOfUnknownVersionIsRefused(t *testing.T) {
	_, second, runs := serveTwoVersions(t)
	got, took := second.resumeStream("b1", "nobodys")
	expectRefusal(t, got, took, "313", runs.versions("b1"))
	got = second.send(http.MethodPost, "/once/", "x", "X-Request-Id", "b2", "X-Token-Usage", "100,288", "X-Deadline-Ms", "4000", "Last-Event-Id", "2")
	expectRefusal(t, got, 0, "313", runs.versions("b2"))
	second.eventually("logging and counting the reason", func() bool {
		return strings.Contains(second.log.String(), `"origin":{"ground":"unknown","asked":1,"answered":1,"versions":["v1","v2"]}`) &&
			strings.Contains(second.metricsText(), `pewtermill_serve_streams_taken_up_total{ground="unknown",result="version_unknown"} 2`)
	})
}

// TestStreamOfTheOnlyVersionResumes shows that streams of a service with one version resume at any process, even if no process
// has their origin, unless another version was listed recently.
func TestStreamOfTheOnlyVersionResumes(t *testing.T) {
	single := prepare(t)
	single.runTwoVersions()
	for _, id := range []string{"v2-0", "v2-1", "v2-2"} {
		single.store.Remove("servers", "", id)
	}
	config := standard()
	config["routes"] = append(config["routes"].([]map[string]any), onceRoute())
	single.store.Put("op", "", "config", config)
	single.run("node-1", "")
	single.eventually("ready", single.process.Ready)
	if got, _ := single.resumeStream("b1", "nobodys"); got.status != http.StatusOK {
		t.Errorf("a process that never listed another version: got %+v", got)
	}
	first, second, runs := serveTwoVersions(t)
	for _, id := range []string{"v2-0", "v2-1", "v2-2"} {
		first.store.Remove("servers", "", id)
	}
	second.eventually("without the second version", func() bool { return !strings.Contains(second.metricsText(), `version="v2"`) })
	got, took := second.resumeStream("b2", "nobodys") // the removed version may have served it first
	expectRefusal(t, got, took, "313", runs.versions("b2"))
}

// TestNewProcessDoesNotGuessVersions starts a process that lists one version. Another one may have been removed just before, so
// streams without a known origin are rejected, and streams that the process has started itself resume.
func TestNewProcessDoesNotGuessVersions(t *testing.T) {
	d := prepare(t)
	d.streamWarmUp = time.Minute
	d.store.Put("op", "", "config", standard())
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	got := d.stream("/resumed/", "b1", "nobodys")
	expectRefusal(t, got, 0, "313", nil)
	if got.header.Get("Retry-After") == "" {
		t.Error("no Retry-After, though another process may have the origin")
	}
	d.stream("/resumed/", "a2", "")
	if got := d.stream("/resumed/", "b2", "a2"); got.status != http.StatusOK {
		t.Errorf("a stream that the process started: got %+v", got)
	}
}

// TestStreamIsRefusedOnceItsVersionHasGone removes or drains all engines of the version that first served some streams. Requests
// that resume them are rejected at once; a running stream is truncated and never continues at another version.
func TestStreamIsRefusedOnceItsVersionHasGone(t *testing.T) {
	first, second, runs := serveTwoVersions(t)
	startedBy := make(map[string]string) // a stream of each version
	for number := 0; len(startedBy) < 2; number++ {
		id := fmt.Sprintf("a%d", number)
		first.stream("/once/", id, "")
		for version := range runs.versions(id) {
			startedBy[version] = id
		}
	}
	for _, id := range []string{"v1-0", "v1-1", "v1-2"} {
		first.store.Put("servers", "", id, first.engines[id].StoreEntry("models", "draining"))
	}
	for node, d := range map[string]*deployment{"1": first, "2": second} {
		d.eventually("informed of the draining engines", func() bool { return strings.Contains(d.log.String(), `"engines":8,"engines_ready":5`) })
		got, took := d.resumeStream("b"+node, startedBy["v1"])
		expectRefusal(t, got, took, "314", runs.versions("b"+node))
		if got, _ := d.resumeStream("c"+node, startedBy["v2"]); got.status != http.StatusOK {
			t.Errorf("a stream of the remaining version: got %+v", got)
		}
	}
	// An engine of the version becomes ready again.
	first.store.Put("servers", "", "v1-1", first.engines["v1-1"].StoreEntry("models", "ready"))
	second.eventually("informed of the ready engine", func() bool { return strings.Contains(second.metricsText(), "pewtermill_serve_engines_ready 6") })
	if got, _ := second.resumeStream("d", startedBy["v1"]); got.status != http.StatusOK || len(runs.versions("d", startedBy["v1"])) != 1 {
		t.Errorf("a stream whose version is ready again: got %+v", got)
	}
}

// TestRunningStreamIsCutOnceItsVersionIsRemoved makes the only engine of a version abort a stream and removes it. The client
// keeps the events that it has; no event of the other version follows.
func TestRunningStreamIsCutOnceItsVersionIsRemoved(t *testing.T) {
	d := serve(t)
	runs := d.oneEnginePerVersion()
	var broken atomic.Bool
	for _, id := range []string{"v1-0", "v2-0"} {
		engine := d.engines[id]
		engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
			runs.record(request.Header.Get("X-Request-Id"), engine.Version())
			if broken.CompareAndSwap(false, true) {
				d.store.Remove("servers", "", id)
				d.eventually("without the engine", func() bool {
					return !strings.Contains(d.metricsText(), fmt.Sprintf(`service="models",version=%q`, engine.Version()))
				})
				engine.Answer(writer, request, 2)
			}
			return false
		})
	}
	got := d.stream("/resumed/", "a", "")
	if !got.cut || strings.Count(got.body, "data: event") != 2 || len(runs.versions("a")) != 1 {
		t.Errorf("got %+v, of versions %v", got, runs.versions("a"))
	}
}

// oneEnginePerVersion keeps one engine of models for each of two versions, and returns once they are listed.
func (d *deployment) oneEnginePerVersion() *versionedRuns {
	d.t.Helper()
	runs := d.runTwoVersions()
	for _, id := range []string{"v1-1", "v1-2", "v2-1", "v2-2"} {
		d.store.Remove("servers", "", id)
		delete(d.engines, id)
	}
	d.eventually("two engines of models", func() bool {
		return strings.Contains(d.metricsText(), `pewtermill_serve_engines_by_version{service="models",version="v1"} 1`) &&
			strings.Contains(d.metricsText(), `pewtermill_serve_engines_by_version{service="models",version="v2"} 1`)
	})
	return runs
}

// TestStreamsFromBeforeAReleaseGoOn starts streams while one version serves, and aborts them. A second version is added before
// they are resumed at another process, after the first process was stopped.
func TestStreamsFromBeforeAReleaseGoOn(t *testing.T) {
	const streams = 10
	first := prepare(t)
	runs := &versionedRuns{byID: make(map[string][]string)}
	for _, id := range []string{"m1", "m2", "m3"} {
		first.addVersionedEngine(id, "v1", runs)
	}
	config := standard()
	config["routes"] = append(config["routes"].([]map[string]any), onceRoute())
	first.store.Put("op", "", "config", config)
	first.run("node-1", anyPort)
	second := first.runAnother("node-2", anyPort)
	for _, d := range []*deployment{first, second} {
		d.eventually("ready, with the peer found", func() bool {
			return d.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
		})
	}
	for number := range streams {
		first.stream("/once/", "a"+strconv.Itoa(number), "")
	}
	first.addVersionedEngine("v2-0", "v2", runs)
	for _, d := range []*deployment{first, second} {
		d.eventually("informed of the release", func() bool { return strings.Contains(d.metricsText(), `version="v2"`) })
	}
	first.process.Stop(t.Context())
	for number := range streams {
		first, id := "a"+strconv.Itoa(number), "b"+strconv.Itoa(number)
		if got, _ := second.resumeStream(id, first); got.status != http.StatusOK || len(runs.versions(first, id)) != 1 {
			t.Errorf("stream %d: got %+v, of versions %v", number, got, runs.versions(first, id))
		}
	}
}

// TestStreamDoesNotGoOnAtALaterStart restarts the engine that first served a stream, under its name and address but with another
// version, and resumes the stream before that is listed. No event of the later incarnation reaches the client.
//
// The soak (seed 4602) found that a stream of version v2 resumed at an engine that was listed with v2 and had been v3 for
// 70 ms. Its entry was read 5 ms later.
func TestStreamDoesNotGoOnAtALaterStart(t *testing.T) {
	d := prepare(t)
	runs := &versionedRuns{byID: make(map[string][]string)}
	for id, version := range map[string]string{"m1": "v1", "m2": "v2"} {
		engine := d.addVersionedEngine(id, version, runs)
		engine.Restart(firstStart)
		d.store.Put("servers", "", id, engine.StoreEntry("models", "ready"))
	}
	d.store.Put("op", "", "config", standard())
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	startedBy := make(map[string]string) // a stream of each version
	for number := 0; len(startedBy) < 2; number++ {
		id := fmt.Sprintf("a%d", number)
		d.stream("/resumed/", id, "")
		for version := range runs.versions(id) {
			startedBy[version] = id
		}
	}
	d.engines["m1"].Restart(secondStart)
	d.engines["m1"].SetVersion("v3")
	if got := d.stream("/resumed/", "b1", startedBy["v1"]); strings.Contains(got.body, "data: event") {
		t.Errorf("events of a later incarnation reached the client: %+v", got)
	}
	if got := d.stream("/resumed/", "b2", startedBy["v2"]); got.status != http.StatusOK || got.cut {
		t.Errorf("a stream at the listed incarnation: got %+v", got)
	}
}

// TestBufferedStreamRestartsAtAnotherVersion makes an engine abort an optimistic turn, of which no event has been sent to the
// client, and removes its version. The turn restarts at the other version.
func TestBufferedStreamRestartsAtAnotherVersion(t *testing.T) {
	d := serve(t)
	runs := d.oneEnginePerVersion()
	var first atomic.Bool
	broken := make(chan string, 1)
	resume := make(chan struct{})
	for id, engine := range d.engines {
		if !strings.HasPrefix(id, "v") {
			continue
		}
		engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
			runs.record(request.Header.Get("X-Request-Id"), engine.Version())
			if first.CompareAndSwap(false, true) {
				broken <- id
				<-resume
				engine.Answer(writer, request, 2)
			}
			return false
		})
	}
	d.eventually("with both versions in the record", func() bool { return d.recordsVersions("v1", "v2") })
	d.store.SetFault(func(path, part string) operators.Fault { // the ledger's rows are unavailable, the engine list is not
		if part != "" || strings.Contains(path, "rows-tx") {
			return operators.Unavailable
		}
		return operators.Healthy
	})
	answered := make(chan answer, 1)
	go func() { answered <- d.turn("/resumed/", "p", "t1", "", "x") }()
	id := <-broken
	d.store.Remove("servers", "", id)
	d.eventually("without the engine", func() bool {
		return !strings.Contains(d.metricsText(), fmt.Sprintf(`service="models",version=%q`, d.engines[id].Version()))
	})
	close(resume)
	d.eventually("the turn at the other engine", func() bool { return len(runs.versions("t1")) == 2 })
	d.store.SetFault(nil)
	got := <-answered
	if got.status != http.StatusOK || got.cut || got.body != fourEvents {
		t.Fatalf("got %+v, want 200 and four events, each once", got)
	}
	if seal := got.header.Get("X-Response-Seal"); seal == "seal-of-"+id {
		t.Error("the answer has the headers of an engine but none of its events")
	}
}
