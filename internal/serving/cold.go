package serving

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/coldstart"
)

// maxColdRecords is the maximum number of log records per second about engines that turn cold or warm: a release starts
// engines by the hundred, and other writers may write any number of entries. If a few engines start together, each gets
// a record of its own.
const maxColdRecords = 20

// warmthChanged logs that an engine turned cold or warm, within the limit of maxColdRecords. The placer may call it with
// its mutex held, so it calls no method of the placer.
func (p *Process) warmthChanged(change coldstart.Change) {
	suppressed, allowed := p.coldLog.allow(time.Now())
	if !allowed {
		return
	}
	message := "engine warm"
	switch {
	case change.Cold:
		message = "engine cold"
	case change.Removed:
		message = "cold engine gone"
	}
	since := 0.0
	if !change.Since.IsZero() {
		since = millis(time.Since(change.Since))
	}
	p.logger.Info(message, "engine", change.ID, "service", change.Engine.Service, "zone", change.Engine.Zone,
		"word", string(change.Reason), "heard_ms", since, "cold_left_ms", millis(change.Engine.ColdRemaining), "left_out", suppressed)
}

// registerColdGauges registers the metrics of cold engines.
func (p *Process) registerColdGauges() {
	gauge := func(name, help string, value func(coldstart.Stats) float64) {
		p.metrics.RegisterGauge(name, help, func() float64 { return value(p.placer.ColdStats()) })
	}
	gauge("pewtermill_serve_engines_cold", "Engines that are cold, as far as is known.",
		func(f coldstart.Stats) float64 { return float64(f.Cold) })
	gauge("pewtermill_serve_cold_requests_left", "Requests that this process may send to cold engines now.",
		func(f coldstart.Stats) float64 { return float64(f.Remaining) })
	gauge("pewtermill_serve_cold_requests_sent", "Requests that were let go to cold engines.",
		func(f coldstart.Stats) float64 { return float64(f.Admitted) })
	gauge("pewtermill_serve_cold_requests_kept", "Requests that were kept from the cold engine of their line's last turn.",
		func(f coldstart.Stats) float64 { return float64(f.HeldBack) })
}
