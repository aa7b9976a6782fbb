package serving_test

import (
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// TestRecordOfVersionsInTheStore starts a process, which would have to list engines for a minute to know which versions served,
// on a store that has a record of them, as after a kill of all.
func TestRecordOfVersionsInTheStore(t *testing.T) {
	for name, test := range map[string]struct {
		record map[string]any // nil for none
		known  bool
	}{
		"the same version": {versionRecord(7, "v1"), true},
		"another one":      {versionRecord(7, "v2"), false},
		"one more":         {versionRecord(7, "v1", "v2"), false},
		"none":             {nil, false},
		"an earlier time":  {versionRecord(6, "v1"), false},
		"invalid":          {map[string]any{"c": "seven"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			d := prepare(t)
			d.streamWarmUp = time.Minute
			d.store.Put("op", "", "config", standard())
			if test.record != nil {
				d.store.Put("stream-versions", "", "record", test.record)
			}
			d.run("node-1", "")
			d.eventually("ready", d.process.Ready)
			d.eventually("with the listed version in the record", func() bool {
				rows := d.store.Rows("stream-versions")
				return len(rows) == 1 && strings.Contains(string(rows[0].Value), `"v1"`) && strings.Contains(string(rows[0].Value), `"c":7`)
			})
			if !test.known {
				got := d.stream("/resumed/", "b1", "nobodys")
				expectRefusal(t, got, 0, "313", nil)
			} else {
				d.eventually("with what the record says", func() bool {
					got := d.stream("/resumed/", "b1", "nobodys")
					return got.status == http.StatusOK && !got.cut
				})
			}
			if got := d.stream("/resumed/", "a1", ""); got.status != http.StatusOK {
				t.Errorf("a stream that starts: got %+v", got)
			}
		})
	}
}

// versionRecord returns a record of software versions of the services, which have had no others for long.
func versionRecord(configuration int, versions ...string) map[string]any {
	entry := map[string]any{"v": versions, "k": 600_000}
	return map[string]any{"c": configuration, "s": map[string]any{"models": entry, "portal": entry}}
}

// TestStreamsStartAtRecordedVersionsOnly lists a second version while the store takes no writes. Streams that clients may resume
// start at the recorded version, and are rejected without a long wait once none of its engines is left. Other requests run.
func TestStreamsStartAtRecordedVersionsOnly(t *testing.T) {
	const streams = 12
	d := prepare(t)
	runs := &versionedRuns{byID: make(map[string][]string)}
	d.store.Put("op", "", "config", standard())
	d.run("node-1", "")
	d.eventually("ready", d.process.Ready)
	d.eventually("with a record", func() bool { return len(d.store.Rows("stream-versions")) == 1 })
	d.store.SetFault(func(path, _ string) operators.Fault {
		if strings.Contains(path, "rows-tx") {
			return operators.Unavailable
		}
		return operators.Healthy
	})
	for number := range 3 {
		engine := d.addVersionedEngine("n"+strconv.Itoa(number), "v2", runs)
		engine.SetHandler(func(_ http.ResponseWriter, request *http.Request) bool {
			runs.record(request.Header.Get("X-Request-Id"), "v2")
			return false
		})
	}
	d.eventually("informed of the release", func() bool {
		return strings.Contains(d.metricsText(), `pewtermill_serve_engines_by_version{service="models",version="v2"} 3`)
	})
	for number := range streams {
		id := "a" + strconv.Itoa(number)
		if got := d.stream("/resumed/", id, ""); got.status != http.StatusOK || len(runs.versions(id)) > 0 {
			t.Errorf("stream %s: got %+v, of versions %v besides the recorded one", id, got, runs.versions(id))
		}
	}
	for _, id := range []string{"m1", "m2"} {
		d.store.Remove("servers", "", id)
	}
	d.eventually("informed of the removal", func() bool { return !strings.Contains(d.metricsText(), `service="models",version="v1"`) })
	start := time.Now()
	got := d.stream("/resumed/", "b1", "")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"execution":"not_run"`) || len(runs.versions("b1")) > 0 || time.Since(start) > 2*time.Second {
		t.Errorf("got %+v after %s, of versions %v; want 503 and not run", got, time.Since(start), runs.versions("b1"))
	}
	d.store.SetFault(nil)
	d.eventually("the stream served once the version is recorded", func() bool { return d.stream("/resumed/", "b2", "").status == http.StatusOK })
}
