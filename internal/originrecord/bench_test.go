package originrecord

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
)

// BenchmarkIndexOfALargeFleet decodes the rows of 295 processes and indexes them, as each process does up to three times a second while callers
// take streams up. It reports the bytes of the rows, and those that the index keeps.
func BenchmarkIndexOfALargeFleet(b *testing.B) {
	const processes = 295
	for _, streams := range []int{200, 2500} {
		b.Run(fmt.Sprint(streams), func(b *testing.B) {
			var values [][]byte
			rowBytes := 0
			for number := range processes {
				var begun []origins.Origin
				for stream := range streams {
					begun = append(begun, origins.Origin{Stream: fmt.Sprintf("%d-%d", number, stream), Service: "models", Version: "v1",
						Engine: fmt.Sprintf("engine-%d", stream%20), EngineStart: 7, ExpiresAt: time.Now().Add(streamTime)})
				}
				content, _ := newRow(begun, time.Now())
				value, err := json.Marshal(content)
				if err != nil {
					b.Fatal(err)
				}
				values, rowBytes = append(values, value), rowBytes+len(value)
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			var all index
			for b.Loop() {
				all = newIndex()
				for _, value := range values {
					content, err := decodeRow(value)
					if err != nil {
						b.Fatal(err)
					}
					all.add(content)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(rowBytes), "row-bytes")
			b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "index-bytes")
			runtime.KeepAlive(all)
		})
	}
}
