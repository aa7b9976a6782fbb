package originrecord

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
)

// originsOf returns origins of streams of one process.
func originsOf(process, streams int, engine func(stream int) string) []origins.Origin {
	begun := make([]origins.Origin, 0, streams)
	for stream := range streams {
		begun = append(begun, origins.Origin{Stream: fmt.Sprintf("%d-%d", process, stream), Service: "models", Version: "v1",
			Engine: engine(stream), EngineStart: 7, ExpiresAt: time.Now().Add(streamTime)})
	}
	return begun
}

// TestRowsOfAFleetAreBounded has processes of fleets of several sizes record more streams than a row holds.
func TestRowsOfAFleetAreBounded(t *testing.T) {
	for _, processes := range []int{0, 1, 12, 295, 420, 5000} {
		begun := originsOf(0, 3000, func(int) string { return "engine" })
		_, streams := newRow(newest(begun, processes), time.Now())
		if len(streams) < minRowStreams || len(streams) > minRowStreams && len(streams)*processes > maxFleetStreams {
			t.Errorf("%d streams in the row of each of %d processes, want at least %d, and at most %d of all", len(streams), processes, minRowStreams, maxFleetStreams)
		}
		if _, named := streams["0-0"]; !named {
			t.Errorf("%d processes: the newest stream is not in the row", processes)
		}
	}
}

// TestIndexIsBounded indexes full rows of many processes, of few starts and of one for each stream. The index keeps 16 MB at most, a
// quarter of the 64 MB that control may take on the smallest machines.
func TestIndexIsBounded(t *testing.T) {
	const (
		mostBytes = 16 << 20
		processes = 120
	)
	for name, engine := range map[string]func(process, stream int) int{
		"few starts": func(_, stream int) int { return stream % 20 },
		"as many as have a place": func(process, stream int) int {
			return process*(maxIndexStarts/processes) + stream%(maxIndexStarts/processes)
		},
		"a start for each stream": func(process, stream int) int { return process*2500 + stream },
	} {
		t.Run(name, func(t *testing.T) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			all := newIndex()
			for process := range processes {
				content, _ := newRow(originsOf(process, 2500, func(stream int) string { return fmt.Sprintf("engine-%d", engine(process, stream)) }), time.Now())
				value, err := json.Marshal(content)
				if err != nil {
					t.Fatal(err)
				}
				if content, err = decodeRow(value); err != nil {
					t.Fatal(err)
				}
				all.add(content)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			if kept := int64(after.HeapAlloc) - int64(before.HeapAlloc); kept > mostBytes {
				t.Errorf("%d bytes are kept, want %d at most", kept, mostBytes)
			} else {
				t.Logf("%d bytes of %d streams and %d starts", kept, len(all.streams), len(all.starts))
			}
			if origin, found := all.find("0-0", time.Now()); !found || origin.Engine != "engine-0" {
				t.Errorf("got %+v, %v", origin, found)
			}
		})
	}
}

// TestFullIndexTellsContradictions adds rows to an index that has no place for further streams or starts. Streams that it has are not
// told if one of these rows states another origin.
func TestFullIndexTellsContradictions(t *testing.T) {
	add := func(all index, stream, version, engine string) {
		content, _ := newRow([]origins.Origin{{Stream: stream, Service: "models", Version: version, Engine: engine}}, time.Now())
		all.add(content)
	}
	all := newIndex()
	for number := range maxIndexStarts {
		add(all, fmt.Sprint("stream-", number), "v1", fmt.Sprint("engine-", number))
	}
	add(all, "unplaced", "v1", "engine-late") // its start has no place
	add(all, "late", "v1", "engine-late")
	add(all, "late", "v1", "engine-0")
	add(all, "stream-1", "v2", "engine-late")
	for number := range maxIndexStreams {
		add(all, fmt.Sprint("further-", number), "v1", "engine-0")
	}
	add(all, "stream-2", "v1", "engine-3")
	for _, stream := range []string{"unplaced", "late", "stream-1", "stream-2", fmt.Sprint("further-", maxIndexStreams-1)} {
		if origin, found := all.find(stream, time.Now()); found {
			t.Errorf("stream %s: got %+v, want none", stream, origin)
		}
	}
	if origin, found := all.find("stream-0", time.Now()); !found || origin.Engine != "engine-0" {
		t.Errorf("got %+v, %v", origin, found)
	}
}
