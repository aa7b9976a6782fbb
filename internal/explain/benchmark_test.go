package explain

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkLogMemory measures a full log in which half of the records are
// placements with twelve candidates of four scores each.
func BenchmarkLogMemory(b *testing.B) {
	const records = 8192
	for b.Loop() {
		before := liveHeap()
		log := NewLog("node-1", records)
		for index := range records {
			decision := Decision{At: time.Now(), Node: "node-1", Kind: Finished, Program: fmt.Sprintf("cell-%016x", index/9), Reason: fmt.Sprintf("result recorded, cost %d", index)}
			if index%2 == 0 {
				decision.Kind = Placed
				decision.Candidates = candidates()
			}
			log.Record(decision)
		}
		b.ReportMetric(float64(liveHeap()-before)/records, "B/record")
		runtime.KeepAlive(log)
	}
}

func candidates() []Candidate {
	list := make([]Candidate, 12)
	for index := range list {
		list[index] = Candidate{Name: "engine-1-1", Scores: make([]Score, 4), Total: float64(index)}
	}
	return list
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
