package serving

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/ingress"
	"github.com/pewtermill/pewtermill/internal/quota"
)

// Maximum numbers of label values. Further routes, tenants and ranks are counted together as otherLabels.
const (
	maxRouteLabels  = 100
	maxTenantLabels = 100
	// maxRankLabels covers two priorities of tenants, each with as many route priorities as the platform has.
	maxRankLabels = 20
	otherLabels   = "other"
)

// latencyBuckets are the upper bounds of the buckets of all histograms, in seconds.
var latencyBuckets = []float64{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1, 2, 4, 8}

// Metrics are the counters and histograms of one process. Safe for concurrent
// use. docs/OPERATIONS.md lists them; a test compares the two.
type Metrics struct {
	registry       *prometheus.Registry
	requests       *prometheus.CounterVec
	refusals       *prometheus.CounterVec
	attempts       *prometheus.CounterVec
	firstByte      *prometheus.HistogramVec
	duration       *prometheus.HistogramVec
	ledgerWait     prometheus.Histogram
	settlement     prometheus.Histogram
	storeCalls     *prometheus.HistogramVec
	storeBytes     *prometheus.CounterVec
	sourceLost     *prometheus.CounterVec
	directPathLost *prometheus.CounterVec
	ownersLost     *prometheus.CounterVec
	coveredTurns   *prometheus.CounterVec
	loadsLost      *prometheus.CounterVec
	loadsDropped   *prometheus.CounterVec
	loadsBytes     *prometheus.CounterVec
	regionBytes    *prometheus.CounterVec
	holdersLost    *prometheus.CounterVec
	writersLost    *prometheus.CounterVec
	rateReductions *prometheus.CounterVec
	watchRoles     *prometheus.CounterVec
	quotaDecisions *prometheus.CounterVec
	denials        *prometheus.CounterVec
	quotaWait      prometheus.Histogram

	routes  boundedLabels
	tenants boundedLabels

	admissions  *prometheus.CounterVec
	ejections   *prometheus.CounterVec
	zoneChanges *prometheus.CounterVec
	ranks       boundedLabels

	sendPaths      *prometheus.CounterVec
	carriersLost   *prometheus.CounterVec
	connections    *prometheus.CounterVec
	unanswered     *prometheus.CounterVec
	refusedCallers *prometheus.CounterVec
	unreadable     *prometheus.CounterVec
	resumedStreams *prometheus.CounterVec
	unreplicated   *prometheus.CounterVec
	engineEnds     *prometheus.CounterVec

	originRecordFailures *prometheus.CounterVec
	endRowFailures       *prometheus.CounterVec
}

// boundedLabels limits the values of a label: the first maxValues values have metrics of their own, further ones are
// counted together as otherLabels. Safe for concurrent use.
type boundedLabels struct {
	maxValues int

	mutex  sync.Mutex
	values map[string]bool
}

// of returns the label for a value.
func (b *boundedLabels) of(value string) string {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	switch {
	case b.values[value]:
		return value
	case len(b.values) >= b.maxValues:
		return otherLabels
	case b.values == nil:
		b.values = make(map[string]bool)
	}
	b.values[value] = true
	return value
}

// NewMetrics returns metrics with all counters at zero.
func NewMetrics() *Metrics {
	m := &Metrics{registry: prometheus.NewRegistry(), routes: boundedLabels{maxValues: maxRouteLabels}, tenants: boundedLabels{maxValues: maxTenantLabels}, ranks: boundedLabels{maxValues: maxRankLabels}}
	m.requests = counters("pewtermill_serve_requests_total", "Requests that ended.", "route", "kind", "status")
	m.refusals = counters("pewtermill_serve_failures_total", "Requests that the process itself refused or broke off, by result code.", "code")
	m.attempts = counters("pewtermill_serve_tries_total", "Sends to engines, by outcome.", "outcome")
	m.firstByte = histograms("pewtermill_serve_first_byte_seconds", "From arrival to the first byte of the answer.", "kind")
	m.duration = histograms("pewtermill_serve_request_seconds", "From arrival to the end of the answer.", "kind")
	m.storeCalls = histograms("pewtermill_serve_store_call_seconds", "Calls to the platform's store.", "call", "result")
	m.storeBytes = counters("pewtermill_serve_store_answer_bytes_total", "Bytes that were read of the store's answers, those of answers that were given up among the failed.", "call", "result")
	m.directPathLost = counters("pewtermill_serve_way_lost_total", "Times that calls to the store began to go through peers.")
	m.ownersLost = counters("pewtermill_serve_owners_lost_total", "Times that a process that holds allowances for others stopped answering.")
	m.coveredTurns = counters("pewtermill_serve_turns_covered_total", "Turns by whose allowance covers them.", "allowance")
	m.loadsLost = counters("pewtermill_serve_loads_lost_total", "Times that reports of how busy engines are stopped.")
	m.loadsDropped = counters("pewtermill_serve_loads_dropped_total", "Reports of peers that were of no use.")
	m.loadsBytes = counters("pewtermill_serve_loads_bytes_total", "Bytes of messages about how busy engines are, without framing.", "direction", "form")
	m.regionBytes = counters("pewtermill_serve_region_bytes_total", "Bytes that crossed to and from other regions for what this process asked for.", "direction", "kind")
	m.sourceLost = counters("pewtermill_serve_store_lost_total", "Times that the store stopped answering a watch.", "collection")
	m.holdersLost = counters("pewtermill_serve_limit_holders_lost_total", "Times that the process that counts for some tenants stopped answering.")
	m.writersLost = counters("pewtermill_serve_writers_lost_total", "Times that a process that writes for others stopped answering.")
	m.rateReductions = counters("pewtermill_serve_pace_cuts_total", "Times that this process slowed its writes down, since the store refused one for its rate.")
	m.watchRoles = counters("pewtermill_serve_watch_places_total", "Times that this process took a role in the watch of its zone, by role.", "role")
	m.quotaDecisions = counters("pewtermill_serve_limit_decisions_total", "Requests of tenants with a limit, by what was decided and on what ground.", "verdict", "ground")
	m.denials = counters("pewtermill_serve_tenant_denials_total", "Requests refused for their tenant's sake, by tenant and result code.", "tenant", "code")
	m.quotaWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "pewtermill_serve_limit_wait_seconds", Help: "Until a request was counted towards its tenant's limit.", Buckets: latencyBuckets})
	m.ledgerWait = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "pewtermill_serve_ledger_wait_seconds", Help: "Until a turn got leave to run.", Buckets: latencyBuckets})
	m.settlement = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "pewtermill_serve_settlement_seconds", Help: "Until a turn was recorded.", Buckets: latencyBuckets})
	m.registry.MustRegister(m.requests, m.refusals, m.attempts, m.firstByte, m.duration, m.storeCalls, m.storeBytes, m.sourceLost, m.directPathLost, m.ownersLost, m.coveredTurns, m.loadsLost, m.loadsDropped, m.loadsBytes, m.regionBytes, m.holdersLost, m.writersLost, m.rateReductions, m.watchRoles, m.quotaDecisions, m.denials, m.quotaWait, m.ledgerWait, m.settlement)
	m.admissions = counters("pewtermill_serve_admissions_total", "Programs that wanted to begin, by what was decided and by rank of priority.", "verdict", "rank")
	m.ejections = counters("pewtermill_serve_engines_passed_over_total", "Times that an engine began to be passed over since it fails, by ground.", "ground")
	m.zoneChanges = counters("pewtermill_serve_zone_changes_total", "Times that this process concluded that a zone was lost or back, or that it was itself cut off or back.", "change")
	m.sendPaths = counters("pewtermill_serve_ways_total", "Sends to engines, by the way that they took.", "way")
	m.carriersLost = counters("pewtermill_serve_carriers_lost_total", "Times that a process that carried requests for this one stopped answering.")
	m.connections = counters("pewtermill_serve_engine_connections_total", "New connections to engines.")
	m.unanswered = counters("pewtermill_serve_unanswered_total", "Callers' connections that ended although a request on them had no whole answer, by what they were doing and why they ended.", "state", "cause")
	m.refusedCallers = counters("pewtermill_serve_callers_refused_total", "Callers that were refused before their requests were read, by why.", "reason")
	m.unreadable = counters("pewtermill_serve_records_unreadable_total", "Versions of records of the store that cannot be read, by collection and by the field that is wrong.", "collection", "field")
	m.resumedStreams = counters("pewtermill_serve_streams_taken_up_total", "Streams that callers took up, by how their software version was known and what became of them.", "ground", "result")
	m.unreplicated = counters("pewtermill_serve_origins_untold_total", "Streams of which no peer confirmed to know the origin while several software versions served.")
	m.originRecordFailures = counters("pewtermill_serve_origin_rows_failed_total", "Times that rows of the streams that processes began could not be read or written, or were invalid.")
	m.engineEnds = counters("pewtermill_serve_engine_ends_total", "Engines that ended under requests of this process, by how they ended.", "how")
	m.endRowFailures = counters("pewtermill_serve_end_rows_failed_total", "Times that rows of engines that ended under requests could not be read or written, or were invalid.")
	m.registry.MustRegister(m.resumedStreams, m.unreplicated, m.originRecordFailures, m.endRowFailures, m.engineEnds)
	m.registry.MustRegister(m.admissions, m.ejections, m.zoneChanges, m.sendPaths, m.carriersLost, m.connections, m.unanswered, m.refusedCallers, m.unreadable)
	return m
}

func counters(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Name: name, Help: help}, labels)
}

func histograms(name, help string, labels ...string) *prometheus.HistogramVec {
	return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: name, Help: help, Buckets: latencyBuckets}, labels)
}

// RegisterBuild registers a metric with the build of the program. Call it once.
func (m *Metrics) RegisterBuild(version, revision string) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "pewtermill_serve_build", Help: "1, with the build of the program.", ConstLabels: prometheus.Labels{"version": version, "revision": revision},
	}, func() float64 { return 1 }))
}

// RegisterGauge registers a gauge whose value is read at each scrape.
func (m *Metrics) RegisterGauge(name, help string, value func() float64) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: name, Help: help}, value))
}

// Handler serves the metrics in the Prometheus text format.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// ObserveStoreCall counts one call to the store.
func (m *Metrics) ObserveStoreCall(call string, took time.Duration, answerBytes int, err error) {
	result := "answered"
	if err != nil {
		result = "failed"
	}
	m.storeCalls.WithLabelValues(call, result).Observe(took.Seconds())
	m.storeBytes.WithLabelValues(call, result).Add(float64(answerBytes))
}

// recordRequest counts a request that ended.
func (m *Metrics) recordRequest(report ingress.Report) {
	m.requests.WithLabelValues(m.routes.of(report.Route), report.Kind, strconv.Itoa(report.Status)).Inc()
	m.duration.WithLabelValues(report.Kind).Observe(report.Took.Seconds())
	if report.Code != api.OK {
		m.refusals.WithLabelValues(report.Code.String()).Inc()
	}
	for _, attempt := range report.Attempts {
		m.attempts.WithLabelValues(attempt.Outcome.String()).Inc()
		if attempt.Via.Reason != "" {
			m.sendPaths.WithLabelValues(string(attempt.Via.Reason)).Inc()
		}
	}
	switch {
	case report.Owner != "":
		m.coveredTurns.WithLabelValues("peer").Inc()
	case report.Call.Budget > 0 && report.Timings.Ledger > 0:
		m.coveredTurns.WithLabelValues("own").Inc()
	}
	if decision := report.Quota.Decision; decision.Outcome != quota.Undecided {
		m.quotaDecisions.WithLabelValues(decision.Outcome.String(), string(decision.Basis)).Inc()
	}
	if basis := report.Origin.Finding.Basis; basis != "" {
		m.resumedStreams.WithLabelValues(string(basis), resumeResult(report)).Inc()
	}
	if decision := report.Admission; decision.Decided {
		verdict := "refused"
		if decision.Admitted {
			verdict = "admitted"
		}
		m.admissions.WithLabelValues(verdict, m.ranks.of(strconv.Itoa(decision.Rank))).Inc()
	}
	if report.Code == api.Unauthenticated || report.Code == api.TenantLimit {
		m.denials.WithLabelValues(m.tenants.of(report.Tenant), report.Code.String()).Inc()
	}
	observeIf(m.quotaWait, report.Timings.Quota)
	observeIf(m.firstByte.WithLabelValues(report.Kind), report.Timings.FirstByte)
	observeIf(m.ledgerWait, report.Timings.Ledger)
	observeIf(m.settlement, report.Timings.Settlement)
}

func observeIf(histogram prometheus.Observer, took time.Duration) {
	if took > 0 {
		histogram.Observe(took.Seconds())
	}
}

// registerGauges registers the gauges that read the state of the process.
func (p *Process) registerGauges() {
	p.registerCommits()
	p.registerColdGauges()
	p.registerWatch()
	p.registerUpdateAges()
	p.registerCarryGauges()
	p.registerOrigins()
	p.registerOriginRecord()
	p.registerEndedEngines()
	p.metrics.RegisterGauge("pewtermill_serve_calls_waiting", "Calls that wait at this process for an engine.", func() float64 { return float64(p.placer.Waiting()) })
	p.metrics.RegisterGauge("pewtermill_serve_request_memory_bytes", "Bytes that the bodies of requests hold, with the history put in front of them.", func() float64 {
		return float64(p.requestMemory.Used())
	})
	p.metrics.RegisterGauge("pewtermill_serve_request_memory_limit_bytes", "Bytes that the bodies of requests may hold.", func() float64 {
		return float64(p.requestMemory.Limit())
	})
	p.metrics.RegisterGauge("pewtermill_serve_ready", "1 while the process wants new connections.", func() float64 {
		if p.Ready() {
			return 1
		}
		return 0
	})
	p.metrics.RegisterGauge("pewtermill_serve_engines_passed_over", "Engines that get no requests since they fail.", func() float64 {
		return float64(p.placer.Ejected())
	})
	p.metrics.RegisterGauge("pewtermill_serve_configuration_version", "Version of the configuration in force; 0 before the first.", func() float64 {
		if table := p.follower.View().Table; table != nil {
			return float64(table.Configuration.Version)
		}
		return 0
	})
	p.metrics.RegisterGauge("pewtermill_serve_configuration_age_seconds", "Since the configuration in force was taken.", func() float64 {
		return time.Since(time.Unix(0, p.changedAt[discovery.Configurations].Load())).Seconds()
	})
	p.metrics.RegisterGauge("pewtermill_serve_engines", "Engines that are known.", func() float64 {
		return float64(len(p.follower.View().Engines))
	})
	p.metrics.registry.MustRegister(versionCollector{view: p.follower.View})
	p.metrics.RegisterGauge("pewtermill_serve_engines_ready", "Engines that take new work.", func() float64 {
		return float64(readyEngines(p.follower.View()))
	})
	p.metrics.RegisterGauge("pewtermill_serve_zones_evacuated", "Zones that an operator has had evacuated.", func() float64 {
		return float64(len(evacuatedZones(p.follower.View())))
	})
	p.metrics.RegisterGauge("pewtermill_serve_requests_moved", "Requests that were not placed at their line's engine, since its zone was evacuated.", func() float64 {
		return float64(p.placer.TotalMoved())
	})
	p.metrics.RegisterGauge("pewtermill_serve_loads_nodes", "Other processes whose calls at engines are known.", func() float64 {
		return float64(p.placer.ReportingNodes())
	})
	p.metrics.RegisterGauge("pewtermill_serve_region_link_share_bytes", "Bytes a second and way that this process may let cross to each other region; 0 if no limit is known.", func() float64 {
		return p.traffic.meter.NodeRate()
	})
	p.metrics.RegisterGauge("pewtermill_serve_region_calls_kept", "Calls that were kept from regions to which too much crossed.", func() float64 {
		return float64(p.placer.RegionRestricted())
	})
	p.metrics.RegisterGauge("pewtermill_serve_grants", "Turns of other processes that this one covers.", func() float64 {
		return float64(p.ownerServer.Grants())
	})
	p.metrics.RegisterGauge("pewtermill_serve_calls_relayed", "Calls to the store that peers made for this process.", func() float64 {
		return float64(p.relayTable.Relayed())
	})
	p.metrics.RegisterGauge("pewtermill_serve_peers_asked", "Times that a peer was asked whether the store answers it.", func() float64 {
		return float64(p.relayTable.PeerChecks())
	})
	p.metrics.RegisterGauge("pewtermill_serve_calls_for_peers", "Calls to the store that this process made for peers.", func() float64 {
		return float64(p.relayServer.Served())
	})
	p.metrics.RegisterGauge("pewtermill_serve_calls_for_peers_declined", "Calls of peers that this process did not make, since it had lost its own way or made as many as it may.", func() float64 {
		return float64(p.relayServer.Declined())
	})
	p.metrics.RegisterGauge("pewtermill_serve_outcomes_dropped", "Outcomes of calls through peers that made no sense.", func() float64 {
		return float64(p.relayTable.OutcomesDropped())
	})
	p.metrics.RegisterGauge("pewtermill_serve_messages_unknown", "Messages of peers that were declined, since this build does not know them.", func() float64 {
		return float64(p.unknownMessages.Load())
	})
	p.metrics.RegisterGauge("pewtermill_serve_limit_shards", "Shards of tenants that this process counts for.", func() float64 {
		return float64(p.holdings.Held(time.Now()))
	})
	p.metrics.RegisterGauge("pewtermill_serve_store_reachable", "1 while calls find a way to the store.", func() float64 {
		if p.ledger.Reachable() && p.follower.Connected() {
			return 1
		}
		return 0
	})
}
