package simulation

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the statistics of one Run. Latencies are of complete root programs, from arrival to
// the end of the last turn, pauses and sub-agents included. The latency of a rejected program is at
// least the client timeout.
type Result struct {
	Programs int64 `json:"programs"`
	Calls    int64 `json:"calls"` // attempts
	Answered int64 `json:"answered"`

	Overall Latency `json:"overall"`
	// Unloaded is what the latencies would be if each program ran without other load on an
	// engine: no policy can do much better.
	Unloaded Latency `json:"unloaded"`
	// Added is each program's latency beyond its unloaded one, caused by queueing, larger
	// batches and repeated prefill. This is the latency that policies can reduce.
	Added   Latency       `json:"added"`
	Classes []ClassResult `json:"classes"`

	// WastedCacheShare is the number of prompt tokens that were prefilled again although an engine,
	// the same or another, had cached them before, divided by all prompt tokens that engines
	// admitted.
	WastedCacheShare float64 `json:"wasted_cache_share"`
	// CachedShare is the number of prompt tokens found cached divided by all prompt tokens.
	CachedShare float64 `json:"cached_share"`
	// CachesDropped is the number of caches that were dropped during a pause of their program.
	CachesDropped int64 `json:"caches_dropped,omitempty"`
	// WorthCompletedShare and WorthInTimeShare are the worth of the programs that completed, and of
	// those that completed before their deadline, divided by the worth of all programs.
	WorthCompletedShare float64 `json:"worth_completed_share"`
	WorthInTimeShare    float64 `json:"worth_in_time_share"`
	// Fairness is Jain's index over the tenants' mean of unloaded divided by actual latency: 1 if
	// all are slowed equally, 1/tenants if one tenant gets everything.
	Fairness float64        `json:"fairness"`
	Refusals []RefusalCount `json:"refusals,omitempty"`
	// ProgramsPerSecond is the rate at which programs ended, without the first and the last fifth
	// of the ends.
	ProgramsPerSecond float64 `json:"programs_per_second"`
	VirtualSeconds    float64 `json:"virtual_seconds"`
}

// Latency holds percentiles of a latency in seconds.
type Latency struct {
	P50 float64 `json:"p50_seconds"`
	P95 float64 `json:"p95_seconds"`
	P99 float64 `json:"p99_seconds"`
}

// ClassResult holds the statistics of one class.
type ClassResult struct {
	Class     string  `json:"class"`
	Latency   Latency `json:"latency"`
	Unloaded  Latency `json:"unloaded"`
	Added     Latency `json:"added"`
	Completed int64   `json:"completed"`
	InTime    int64   `json:"in_time"`
	Refused   int64   `json:"refused"`
}

// RefusalCount counts the refusals of calls with one code.
type RefusalCount struct {
	Code  int    `json:"code"`
	Name  string `json:"name"`
	Count int64  `json:"count"`
}

// result computes the result at the end of a run.
func (m *measure) result(r *run) *Result {
	result := &Result{
		Programs:          int64(len(m.endTimes)),
		Calls:             m.calls,
		Answered:          m.answered,
		Overall:           latencyOf(m.overall),
		Unloaded:          latencyOf(m.unloaded),
		Added:             latencyOf(m.added),
		WastedCacheShare:  ratio(float64(m.wastedTokens), float64(m.promptTokens)),
		CachedShare:       ratio(float64(m.cachedTokens), float64(m.promptTokens)),
		CachesDropped:     m.cachesDropped,
		Fairness:          m.fairness(),
		ProgramsPerSecond: m.programsPerSecond(),
		VirtualSeconds:    r.clock.now.Sub(epoch).Seconds(),
	}
	var offered, completed, inTime float64
	for _, class := range m.classes {
		result.Classes = append(result.Classes, ClassResult{
			Class:     class.class.Name,
			Latency:   latencyOf(class.latency),
			Unloaded:  latencyOf(class.unloaded),
			Added:     latencyOf(class.added),
			Completed: class.completed,
			InTime:    class.inTime,
			Refused:   class.refused,
		})
		offered += class.class.Worth * float64(class.completed+class.refused)
		completed += class.class.Worth * float64(class.completed)
		inTime += class.class.Worth * float64(class.inTime)
	}
	result.WorthCompletedShare = ratio(completed, offered)
	result.WorthInTimeShare = ratio(inTime, offered)
	for code, count := range m.refusals {
		result.Refusals = append(result.Refusals, RefusalCount{Code: int(code), Name: code.String(), Count: count})
	}
	slices.SortFunc(result.Refusals, func(a, b RefusalCount) int { return a.Code - b.Code })
	return result
}

func latencyOf(histogram *hdrhistogram.Histogram) Latency {
	seconds := func(quantile float64) float64 {
		return (time.Duration(histogram.ValueAtQuantile(quantile)) * time.Millisecond).Seconds()
	}
	return Latency{P50: seconds(50), P95: seconds(95), P99: seconds(99)}
}

// fairness returns Jain's index over the tenants' mean speeds.
func (m *measure) fairness() float64 {
	sum, squares, count := 0.0, 0.0, 0.0
	for _, tenant := range m.tenants {
		if tenant.programs == 0 {
			continue
		}
		meanSpeed := tenant.speedSum / float64(tenant.programs)
		sum += meanSpeed
		squares += meanSpeed * meanSpeed
		count++
	}
	return ratio(sum*sum, count*squares)
}

// programsPerSecond returns the rate of ends without the first and the last fifth of them, during
// which the engines fill up and drain.
func (m *measure) programsPerSecond() float64 {
	first, last := len(m.endTimes)/5, len(m.endTimes)*4/5
	if first == last {
		return 0
	}
	return ratio(float64(last-first), m.endTimes[last].Sub(m.endTimes[first]).Seconds())
}

// ratio returns a/b, or 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
