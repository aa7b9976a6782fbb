package node_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backend"
)

// Load of BenchmarkPacedTokens: 260 streams of 20 tokens a second each are
// the 5,200 tokens a second of one node among 420 that serve 2.2 million.
const (
	pacedStreams = 260
	pacedTokens  = 100
	pacedPause   = 50 * time.Millisecond
)

// BenchmarkPacedTokens has many answers streamed at once at the pace of real
// engines, so that each token goes its way alone, and reports the processor
// time per token of the whole process. "engine" is the same without nodes:
// what the callers and the engine take of it.
func BenchmarkPacedTokens(b *testing.B) {
	for _, way := range []string{"engine", "owner", "other"} {
		b.Run(way, func(b *testing.B) {
			cluster := newBenchCluster(b, benchOptions{nodes: 3, pieces: pacedTokens, pace: pacedPause})
			b.ResetTimer()
			before := processorTime()
			most := streamAtOnce(b, cluster, way)
			spent := processorTime() - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N*pacedTokens), "cpu-µs/token")
			b.ReportMetric(float64(b.N*pacedTokens)/b.Elapsed().Seconds(), "tokens/s")
			b.ReportMetric(most, "goroutines/stream")
		})
	}
}

// streamAtOnce makes b.N calls, pacedStreams at once, and returns the most
// goroutines per stream that were seen.
func streamAtOnce(b *testing.B, cluster *benchCluster, way string) float64 {
	idle := runtime.NumGoroutine()
	streams := min(pacedStreams, b.N)
	var left atomic.Int64
	left.Store(int64(b.N))
	var running sync.WaitGroup
	for range streams {
		running.Go(func() {
			for left.Add(-1) >= 0 {
				if way == "engine" {
					streamFromEngine(b, cluster.engineURL)
				} else {
					streamThroughNode(b, cluster, way == "owner")
				}
			}
		})
	}
	time.Sleep(pacedTokens / 2 * pacedPause)
	most := float64(runtime.NumGoroutine()-idle) / float64(streams)
	running.Wait()
	return most
}

func streamThroughNode(b *testing.B, cluster *benchCluster, throughOwner bool) {
	id, owner := cluster.createProgram()
	if !throughOwner {
		owner = (owner + 1) % len(cluster.nodes)
	}
	_, err := cluster.callers[owner].Call(context.Background(), id, 1, modelRequest(requestBytes), func(api.StreamPart) {})
	if err != nil {
		b.Error(err)
	}
}

func streamFromEngine(b *testing.B, engineURL string) {
	request := modelRequest(requestBytes)
	body, err := json.Marshal(backend.WireChatRequest{Model: request.Target, Messages: request.Messages, Stream: true})
	if err != nil {
		b.Error(err)
		return
	}
	response, err := http.Post(engineURL+"/v1/chat/completions", "application/json", bytes.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		b.Error(err)
	}
}
