package node

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
)

// registerMetrics publishes what the node counts. The names are listed in
// docs/operating.md.
func (n *Node) registerMetrics() {
	gauges := []struct {
		name, help string
		value      func() float64
	}{
		{"pewtermill_programs", "Programs held in memory.", func() float64 { return float64(n.programs.Count()) }},
		{"pewtermill_calls_under_way", "Calls under way.", func() float64 { return float64(n.programs.InFlight()) }},
		{"pewtermill_bundle_version", "Version of the bundle in force.", n.bundleVersion},
		{"pewtermill_ready", "1 while the node takes new work.", n.readiness},
		{"pewtermill_store_healthy", "1 while the table service answers.", n.storeHealth},
	}
	for _, gauge := range gauges {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: gauge.name, Help: gauge.help}, gauge.value))
	}
	if !n.hollow {
		n.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	}
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
