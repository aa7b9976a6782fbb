package node_test

import (
	"context"
	"testing"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/explain"
)

const (
	callsPerProgram   = 20  // of BenchmarkCall: history stays short
	requestBytes      = 400 // of a model call's new message
	answerPieces      = 32  // tokens of an answer
	warmUpCallsPerRun = 20
)

// BenchmarkCall measures one call at a time through three nodes over loopback,
// with the platform stand-in over HTTP, and splits its time into parts.
func BenchmarkCall(b *testing.B) {
	requests := []struct {
		name    string
		request api.CallRequest
	}{
		{"model", modelRequest(requestBytes)},
		{"tool", toolRequest()},
	}
	for _, kind := range requests {
		for _, entry := range []string{"owner", "other"} {
			for _, form := range []string{"whole", "streamed"} {
				b.Run(kind.name+"/"+entry+"/"+form, func(b *testing.B) {
					run := &callRun{
						cluster:      newBenchCluster(b, benchOptions{nodes: 3, pieces: answerPieces}),
						request:      kind.request,
						throughOwner: entry == "owner",
						streamed:     form == "streamed",
						times:        newPartTimes(),
					}
					run.placements = run.cluster.placements()
					run.calls(b, warmUpCallsPerRun)
					run.times = newPartTimes()
					b.ResetTimer()
					run.calls(b, b.N)
					run.times.report(b)
				})
			}
		}
	}
}

// callRun makes calls one after the other.
type callRun struct {
	cluster      *benchCluster
	request      api.CallRequest
	throughOwner bool
	streamed     bool
	placements   <-chan explain.Decision
	times        *partTimes
}

func (r *callRun) calls(b *testing.B, count int) {
	for made := 0; made < count; made += callsPerProgram {
		b.StopTimer()
		id, owner := r.cluster.createProgram()
		if !r.throughOwner {
			owner = (owner + 1) % len(r.cluster.nodes)
		}
		caller := r.cluster.callers[owner]
		b.StartTimer()
		for sequence := range min(callsPerProgram, count-made) {
			r.call(b, caller, id, int64(sequence)+1)
		}
	}
}

func (r *callRun) call(b *testing.B, caller *client.Client, id string, sequence int64) {
	var onPart func(api.StreamPart)
	if r.streamed {
		onPart = func(api.StreamPart) {}
	}
	r.cluster.trace.take()
	r.cluster.trace.add(callBegins)
	result, err := caller.Call(context.Background(), id, sequence, r.request, onPart)
	r.cluster.trace.add(callEnds)
	if err != nil || result.Code != api.OK {
		b.Fatal(result.Code, err)
	}
	placed := <-r.placements
	r.cluster.trace.addAt(callPlaced, placed.At)
	r.times.add(r.cluster.trace.take())
}
