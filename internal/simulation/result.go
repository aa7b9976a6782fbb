package simulation

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one Run measured. Latencies are of whole root programs, from
// arrival to the end of the last turn, pauses and sub-agents included; a
// refused program counts with the time that its caller was ready to wait.
type Result struct {
	Programs int64 `json:"programs"`
	Calls    int64 `json:"calls"` // attempts
	Answered int64 `json:"answered"`

	Overall Latency `json:"overall"`
	// Unloaded is what the latencies would be if each program ran alone on an
	// engine: no policy can do much better.
	Unloaded Latency `json:"unloaded"`
	// Added is each program's latency beyond its unloaded one: waiting,
	// fuller batches, and prefill again. It is what policies can change.
	Added   Latency       `json:"added"`
	Classes []ClassResult `json:"classes"`

	// WastedCacheShare is the prompt tokens that were prefilled again although
	// an engine, the same or another, had cached them before, over all prompt
	// tokens that engines admitted.
	WastedCacheShare float64 `json:"wasted_cache_share"`
	// CachedShare is the prompt tokens found cached over all prompt tokens.
	CachedShare float64 `json:"cached_share"`
	// CachesDropped is how many caches were dropped over a pause.
	CachesDropped int64 `json:"caches_dropped,omitempty"`
	// WorthCompletedShare and WorthInTimeShare are the worth of the programs
	// that completed, and that completed before their deadline, over the
	// worth of all.
	WorthCompletedShare float64 `json:"worth_completed_share"`
	WorthInTimeShare    float64 `json:"worth_in_time_share"`
	// Fairness is Jain's index over tenants of the mean of unloaded over real
	// latency: 1 if all are slowed alike, 1/tenants if one gets everything.
	Fairness float64        `json:"fairness"`
	Refusals []RefusalCount `json:"refusals,omitempty"`
	// ProgramsPerSecond is the rate of ends between the first and the last
	// fifth of them.
	ProgramsPerSecond float64 `json:"programs_per_second"`
	VirtualSeconds    float64 `json:"virtual_seconds"`
}

// Latency is percentiles in seconds.
type Latency struct {
	P50 float64 `json:"p50_seconds"`
	P95 float64 `json:"p95_seconds"`
	P99 float64 `json:"p99_seconds"`
}

// ClassResult is about one class.
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

// result sums up at the end of a run.
func (m *measure) result(r *run) *Result {
	result := &Result{
		Programs:          int64(len(m.ends)),
		Calls:             m.calls,
		Answered:          m.answered,
		Overall:           latencyOf(m.overall),
		Unloaded:          latencyOf(m.unloaded),
		Added:             latencyOf(m.added),
		WastedCacheShare:  ratio(float64(m.wastedTokens), float64(m.promptTokens)),
		CachedShare:       ratio(float64(m.cachedTokens), float64(m.promptTokens)),
		CachesDropped:     m.drops,
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

// fairness is Jain's index over the tenants' mean speeds.
func (m *measure) fairness() float64 {
	sum, squares, count := 0.0, 0.0, 0.0
	for _, tenant := range m.tenants {
		if tenant.programs == 0 {
			continue
		}
		speed := tenant.speed / float64(tenant.programs)
		sum += speed
		squares += speed * speed
		count++
	}
	return ratio(sum*sum, count*squares)
}

// programsPerSecond leaves out the first and the last fifth of the ends, in
// which engines fill up and run empty.
func (m *measure) programsPerSecond() float64 {
	first, last := len(m.ends)/5, len(m.ends)*4/5
	if first == last {
		return 0
	}
	return ratio(float64(last-first), m.ends[last].Sub(m.ends[first]).Seconds())
}

// ratio is a/b, and 0 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
