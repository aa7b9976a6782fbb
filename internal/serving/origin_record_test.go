package serving_test

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// streamHashBytes is the length of what a row names of one stream.
const streamHashBytes = 16

// recordedStreams returns how many streams the rows in the store name.
func (d *deployment) recordedStreams() int {
	d.t.Helper()
	count := 0
	for _, row := range d.store.Rows("stream-origins") {
		var content struct {
			Starts []struct {
				Streams []byte `json:"h"`
			} `json:"s"`
		}
		if err := json.Unmarshal(row.Value, &content); err != nil {
			d.t.Fatal(err)
		}
		for _, start := range content.Starts {
			count += len(start.Streams) / streamHashBytes
		}
	}
	return count
}

// begin has a process begin streams at engines that break them off. Names of the streams have the prefix.
func (d *deployment) begin(prefix string, count int) []string {
	d.t.Helper()
	names := make([]string, 0, count)
	for number := range count {
		name := prefix + strconv.Itoa(number)
		if got := d.stream("/once/", name, ""); got.status != http.StatusOK || !got.cut {
			d.t.Fatalf("stream %s: got %+v, want a stream that breaks off", name, got)
		}
		names = append(names, name)
	}
	return names
}

// replaceAll ends both processes at once, with all that they remember, and starts two others.
func replaceAll(first, second *deployment) (third, fourth *deployment) {
	first.process.Close()
	second.process.Close()
	third, fourth = first.runAnother("node-3", anyPort), first.runAnother("node-4", anyPort)
	for _, d := range []*deployment{third, fourth} {
		d.eventually("ready", d.process.Ready)
	}
	return third, fourth
}

// TestStreamsGoOnAfterAKillOfAll ends all processes while two versions serve. No process that starts then remembers which of
// them began a stream; the rows in the store name it.
func TestStreamsGoOnAfterAKillOfAll(t *testing.T) {
	const streams = 20
	first, second, runs := serveTwoVersions(t)
	names := append(first.begin("a", streams), second.begin("b", streams)...)
	first.eventually("all streams in rows of the store", func() bool { return first.recordedStreams() == len(names) })
	third, fourth := replaceAll(first, second)
	for number, name := range names {
		taking := []*deployment{third, fourth}[number%2]
		got := taking.stream("/once/", "again-"+name, name)
		if got.status != http.StatusOK || got.cut {
			t.Errorf("stream %s: got %+v, want its rest", name, got)
		}
		if versions := runs.versions(name, "again-"+name); len(versions) != 1 {
			t.Errorf("stream %s has events of versions %v", name, versions)
		}
	}
	expectRefusal(t, third.stream("/once/", "again-unknown", "nobodys"), 0, "313", nil)
	if text := third.metricsText(); !strings.Contains(text, `pewtermill_serve_streams_taken_up_total{ground="store",result="went_on"}`) {
		t.Error("no metric says that the origin was known from the store")
	}
}

// TestStreamThatALaterStartBeganIsRefusedAfterAKillOfAll has an engine restart with another version, which is not listed before
// it begins streams. Their rows name the version that was listed. No process that would have noticed is left; the streams must not
// go on at that version.
func TestStreamThatALaterStartBeganIsRefusedAfterAKillOfAll(t *testing.T) {
	const count = 3
	for name, publish := range map[string]func(d *deployment, m1 *operators.Engine){
		"it is listed later": func(d *deployment, m1 *operators.Engine) {
			d.store.Put("servers", "", "m1", m1.StoreEntry("models", "ready"))
		},
		"it is listed never":   func(*deployment, *operators.Engine) {},
		"it has left the list": func(d *deployment, _ *operators.Engine) { d.store.Remove("servers", "", "m1") },
	} {
		t.Run(name, func(t *testing.T) {
			first, second, streams := serveListedStarts(t)
			m3 := first.newEngine("m3")
			m3.Restart(firstStart)
			m3.SetVersion("v2")
			m3.SetHandler(streams.handler(m3))
			first.store.Put("servers", "", "m3", m3.StoreEntry("models", "ready"))
			first.eventually("informed of the release", func() bool {
				return first.hasMetric(`pewtermill_serve_engines_by_version{service="models",version="v2"}`, "1")
			})
			m1 := first.engines["m1"]
			m1.Restart(secondStart)
			m1.SetVersion("v3")
			handler := streams.handler(m1)
			m1.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
				if request.Header.Get("Last-Event-Id") != "" { // full, so that the other engine is asked to continue
					return operators.Shed(writer, request)
				}
				return handler(writer, request)
			})
			answers := first.startStreams("/once/", streams, "m1", count)
			first.eventually("all streams in rows of the store", func() bool { return first.recordedStreams() == len(answers) })
			publish(first, m1)
			third, _ := replaceAll(first, second)
			for _, id := range streams.startedBy("m1") {
				got, took := third.resumeStream("b"+id, id)
				expectRefusal(t, got, took, "313", nil)
			}
			for _, id := range streams.startedBy("m2") {
				if got, _ := third.resumeStream("b"+id, id); got.status != http.StatusOK || versionsIn(answers[id], got) != 1 {
					t.Errorf("stream %s of an engine that did not restart: got %+v and %+v, want its rest", id, answers[id], got)
				}
			}
		})
	}
}
