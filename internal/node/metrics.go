package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"github.com/pewtermill/pewtermill/internal/dispatch"
	"github.com/pewtermill/pewtermill/internal/membership"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// metric is one value that the node publishes, read at each scrape.
type metric struct {
	name, help string
	value      func() float64
}

// registerMetrics registers the node's metrics. The names are listed in
// docs/OPERATIONS.md.
func (n *Node) registerMetrics() {
	for _, gauge := range n.gauges() {
		options := prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}
		n.registry.MustRegister(prometheus.NewGaugeFunc(options, gauge.value))
	}
	for _, counter := range n.counters() {
		options := prometheus.CounterOpts{Name: counter.name, Help: counter.help}
		n.registry.MustRegister(prometheus.NewCounterFunc(options, counter.value))
	}
	n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
}

func (n *Node) gauges() []metric {
	return []metric{
		{"pewtermill_programs", "Programs held in memory.", func() float64 { return float64(n.programs.Count()) }},
		{"pewtermill_calls_under_way", "Calls under way.", func() float64 { return float64(n.programs.InFlight()) }},
		{"pewtermill_bundle_version", "Version of the bundle in force.", n.bundleVersion},
		{"pewtermill_ready", "1 while the node takes new work.", n.readiness},
		{"pewtermill_store_healthy", "1 while the table service answers.", n.storeHealth},
		{"pewtermill_members_alive", "Members of the cell that are alive, this node included.", n.membersAlive},
		{"pewtermill_engines", "Engines of the cell in the bundle in force.", func() float64 { return float64(len(n.dispatcher.Status())) }},
		{"pewtermill_engines_ready", "Engines of the cell that take calls.", n.enginesReady},
	}
}

func (n *Node) counters() []metric {
	return []metric{
		n.storeCounter("pewtermill_store_transactions_total", "Commit requests sent to the table service.",
			func(stats tablestore.StoreStats) uint64 { return stats.Transactions }),
		n.storeCounter("pewtermill_store_rows_total", "Rows written to the table service.",
			func(stats tablestore.StoreStats) uint64 { return stats.Rows }),
		n.storeCounter("pewtermill_store_throttled_total", "Commit requests refused by the table service's rate limit.",
			func(stats tablestore.StoreStats) uint64 { return stats.Throttled }),
		n.storeCounter("pewtermill_store_lost_replies_total", "Commit requests whose reply was lost.",
			func(stats tablestore.StoreStats) uint64 { return stats.Unknown }),
		n.storeCounter("pewtermill_store_refused_total", "Transactions refused here because the table service does not answer.",
			func(stats tablestore.StoreStats) uint64 { return stats.Refused }),
		{"pewtermill_decisions_lost_total", "Decision records that slow watchers missed.",
			func() float64 { return float64(n.decisions.Dropped()) }},
	}
}

func (n *Node) storeCounter(name, help string, value func(tablestore.StoreStats) uint64) metric {
	return metric{name, help, func() float64 { return float64(value(n.store.Stats())) }}
}

func (n *Node) membersAlive() float64 {
	if n.members == nil {
		return 0
	}
	alive := 0
	for _, member := range n.members.View().Members {
		if member.State == membership.Alive {
			alive++
		}
	}
	return float64(alive)
}

func (n *Node) enginesReady() float64 {
	ready := 0
	for _, engine := range n.dispatcher.Status() {
		if engine.State == dispatch.StateReady {
			ready++
		}
	}
	return float64(ready)
}

func (n *Node) bundleVersion() float64 {
	if snapshot := n.keeper.InForce(); snapshot != nil {
		return float64(snapshot.Version())
	}
	return 0
}

func (n *Node) readiness() float64 { return toFloat(n.members != nil && n.Ready()) }

func (n *Node) storeHealth() float64 { return toFloat(n.store.Healthy()) }

func toFloat(condition bool) float64 {
	if condition {
		return 1
	}
	return 0
}
