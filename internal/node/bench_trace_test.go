package node_test

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// moment is a point on a call's way that the benchmark can see from outside
// the nodes.
type moment int

const (
	callBegins moment = iota
	callPlaced        // of the decision log: admission is done
	commitBegins
	commitEnds
	backendBegins
	backendEnds
	callEnds
)

// event is a moment with its time.
type event struct {
	moment moment
	at     time.Time
}

// trace collects the moments of one call at a time. Safe for concurrent use;
// a nil trace collects nothing.
type trace struct {
	mutex  sync.Mutex
	events []event
}

func (t *trace) add(moment moment) { t.addAt(moment, time.Now()) }

func (t *trace) addAt(moment moment, at time.Time) {
	if t == nil {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.events = append(t.events, event{moment, at})
}

// take returns the moments in order of time and forgets them.
func (t *trace) take() []event {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	events := slices.Clone(t.events)
	t.events = t.events[:0]
	slices.SortStableFunc(events, func(a, b event) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	return events
}

// tracedTable notes when a commit begins and ends.
type tracedTable struct {
	tablestore.Table
	trace *trace
}

func (t *tracedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	t.trace.add(commitBegins)
	defer t.trace.add(commitEnds)
	return t.Table.Commit(ctx, transaction)
}

// part is what a stretch of a call's time belongs to.
type part int

const (
	partAdmission part = iota // gateway, forward, the owner's admission, until the first commit or placement
	partSend                  // from placement until the back end's handler runs
	partBackend               // the back end itself
	partRecord                // from the back end's end until the result's commit begins
	partCommit                // commits at the table service
	partAnswer                // from the result's commit to the caller's having the answer
	partTotal                 // from the call's begin to its end
	partAdded                 // partTotal without partBackend
	partCount
)

var partNames = [partCount]string{"admission", "send", "backend", "record", "commit", "answer", "total", "added"}

// partOf says what the time between two successive moments belongs to.
func partOf(from, to moment) part {
	switch {
	case from == commitBegins:
		return partCommit
	case from == backendBegins:
		return partBackend
	case to == backendBegins:
		return partSend
	case from == backendEnds:
		return partRecord
	case to == callEnds:
		return partAnswer
	}
	return partAdmission
}

// partTimes gathers the parts of many calls.
type partTimes [partCount]*hdrhistogram.Histogram

func newPartTimes() *partTimes {
	times := &partTimes{}
	for i := range times {
		times[i] = hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	}
	return times
}

// add takes the moments of one whole call.
func (p *partTimes) add(events []event) {
	var sums [partCount]time.Duration
	for i := 1; i < len(events); i++ {
		sums[partOf(events[i-1].moment, events[i].moment)] += events[i].at.Sub(events[i-1].at)
	}
	sums[partTotal] = events[len(events)-1].at.Sub(events[0].at)
	sums[partAdded] = sums[partTotal] - sums[partBackend]
	for i, sum := range sums {
		_ = p[i].RecordValue(sum.Nanoseconds()) // in range by far
	}
}

// report gives the median of each part, and the tail of what the nodes added.
func (p *partTimes) report(b *testing.B) {
	for i, name := range partNames {
		b.ReportMetric(micros(p[i], 50), name+"-p50-µs")
	}
	b.ReportMetric(micros(p[partAdded], 99), "added-p99-µs")
	b.ReportMetric(micros(p[partCommit], 99), "commit-p99-µs")
}

func micros(histogram *hdrhistogram.Histogram, quantile float64) float64 {
	return float64(histogram.ValueAtQuantile(quantile)) / float64(time.Microsecond)
}
