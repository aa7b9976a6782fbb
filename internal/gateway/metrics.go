package gateway

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promauto"

	"github.com/pewtermill/pewtermill/api"
)

// metrics are the gateway's Prometheus metrics.
type metrics struct {
	requests *prometheus.CounterVec
	duration *prometheus.HistogramVec
	inFlight prometheus.Gauge
}

func newMetrics(registerer prometheus.Registerer) *metrics {
	factory := promauto.With(registerer)
	return &metrics{
		requests: factory.NewCounterVec(prometheus.CounterOpts{
			Name: "pewtermill_gateway_requests_total",
			Help: "Callers' requests answered, by route and result code.",
		}, []string{"route", "code"}),
		duration: factory.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "pewtermill_gateway_request_seconds",
			Help:    "Time from a request's arrival to the end of its answer, in seconds.",
			Buckets: prometheus.ExponentialBuckets(0.001, 2, 18),
		}, []string{"route"}),
		inFlight: factory.NewGauge(prometheus.GaugeOpts{
			Name: "pewtermill_gateway_requests_in_flight",
			Help: "Callers' requests being served now.",
		}),
	}
}

func (m *metrics) observe(route string, code api.Code, elapsed time.Duration) {
	m.requests.WithLabelValues(route, code.String()).Inc()
	m.duration.WithLabelValues(route).Observe(elapsed.Seconds())
}

// inFlightLimit limits how many requests of each tenant are served at the same
// time. It keeps one counter per tenant and never removes it. Safe for concurrent use.
type inFlightLimit struct {
	limit    int64
	counters sync.Map // tenant name to *atomic.Int64
}

func (l *inFlightLimit) acquire(tenant string) bool {
	counter := l.counter(tenant)
	if counter.Add(1) <= l.limit {
		return true
	}
	counter.Add(-1)
	return false
}

func (l *inFlightLimit) release(tenant string) { l.counter(tenant).Add(-1) }

func (l *inFlightLimit) counter(tenant string) *atomic.Int64 {
	if counter, ok := l.counters.Load(tenant); ok {
		return counter.(*atomic.Int64)
	}
	counter, _ := l.counters.LoadOrStore(tenant, new(atomic.Int64))
	return counter.(*atomic.Int64)
}
