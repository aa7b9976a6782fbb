package originrecord

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestStreamsCostNothingWhileOneVersionServes begins streams while one version serves and there is no row. The streams that the process
// remembers are not scanned for each of them.
func TestStreamsCostNothingWhileOneVersionServes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const streams = 1000
		p := startProcess(t, "a", newTable())
		p.set(false, 1)
		p.kill()
		scans := 0
		options := p.keeper.options
		options.Begun = func() []origins.Origin {
			scans++
			return p.memory.Begun(time.Now())
		}
		keeper := New(options)
		p.client = origins.NewClient(origins.Options{Node: "a", Memory: p.memory, Record: keeper,
			Versions: func(string) []string { return []string{"v1"} }, KnownFor: func(string) time.Duration { return time.Hour },
			HasUnreadChange: func(context.Context, string, string) (bool, error) { return false, nil }})
		go keeper.Run(t.Context())
		start := time.Now()
		for range streams {
			p.begin("v1", 1)
			time.Sleep(5 * time.Millisecond)
		}
		if most := int(time.Since(start)/checkPeriod) + 1; scans > most {
			t.Errorf("all remembered streams were scanned and sorted %d times for %d streams in %s, want %d times at most", scans, streams, time.Since(start), most)
		}
	})
}
