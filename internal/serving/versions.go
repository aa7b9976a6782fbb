package serving

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/pewtermill/pewtermill/internal/discovery"
)

// maxVersionLabels is the maximum number of pairs of service and version with metrics of their own.
const maxVersionLabels = 100

// versionsGauge describes the number of engines of each service that run each software version.
var versionsGauge = prometheus.NewDesc("pewtermill_serve_engines_by_version",
	"Engines that are known, by service and version of their software.", []string{"service", "version"}, nil)

// versionCollector counts the engines of a view by version at each scrape. It implements
// prometheus.Collector.
type versionCollector struct {
	view func() *discovery.View
}

// Describe implements prometheus.Collector.
func (versionCollector) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- versionsGauge }

// Collect implements prometheus.Collector.
func (c versionCollector) Collect(metrics chan<- prometheus.Metric) {
	type pair struct{ service, version string }
	counts := make(map[pair]int)
	for _, engine := range c.view().Engines {
		labels := pair{service: engine.Service, version: engine.Version}
		if _, exists := counts[labels]; !exists && len(counts) >= maxVersionLabels {
			labels = pair{service: otherLabels, version: otherLabels}
		}
		counts[labels]++
	}
	for labels, count := range counts {
		metrics <- prometheus.MustNewConstMetric(versionsGauge, prometheus.GaugeValue, float64(count), labels.service, labels.version)
	}
}
