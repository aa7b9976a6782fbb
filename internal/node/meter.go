package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/pewtermill/pewtermill/internal/ownership"
)

// programSecondsBuckets are the buckets of a program's latency: from a fast answer to a
// program that runs for hours.
var programSecondsBuckets = prometheus.ExponentialBuckets(0.5, 2, 15)

// meter publishes metrics for operators: the latency of whole programs and
// the use of the engines' caches, by class. It implements ownership.Meter.
type meter struct {
	programs *prometheus.HistogramVec
	prompt   *prometheus.CounterVec
	cached   *prometheus.CounterVec
	wasted   *prometheus.CounterVec
}

var _ ownership.Meter = (*meter)(nil)

func newMeter(registry *prometheus.Registry) *meter {
	byClass := []string{"class"}
	m := &meter{
		programs: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pewtermill_program_seconds",
			Help:    "Time from the creation of a program without parent to its end.",
			Buckets: programSecondsBuckets,
		}, byClass),
		prompt: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pewtermill_prompt_tokens_total",
			Help: "Prompt tokens of recorded model calls.",
		}, byClass),
		cached: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pewtermill_cached_prompt_tokens_total",
			Help: "Prompt tokens that engines found in their cache.",
		}, byClass),
		wasted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "pewtermill_wasted_prompt_tokens_total",
			Help: "Prompt tokens that were computed again for the same program.",
		}, byClass),
	}
	registry.MustRegister(m.programs, m.prompt, m.cached, m.wasted)
	return m
}

// ProgramEnded implements ownership.Meter.
func (m *meter) ProgramEnded(class string, lasted time.Duration) {
	m.programs.WithLabelValues(class).Observe(lasted.Seconds())
}

// PromptBilled implements ownership.Meter.
func (m *meter) PromptBilled(class string, prompt, cached, wasted int64) {
	m.prompt.WithLabelValues(class).Add(float64(prompt))
	m.cached.WithLabelValues(class).Add(float64(cached))
	m.wasted.WithLabelValues(class).Add(float64(wasted))
}
