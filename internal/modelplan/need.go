package modelplan

import (
	"math"
	"slices"
)

// modelView is one model of the bundle, the demand for it, and the copies that
// the demand requires.
type modelView struct {
	Model
	demand         Demand
	inUse          bool
	allowedEngines int     // usable engines that may hold it
	batchSlots     float64 // slots in the batch of one engine, on average
	predicted      float64 // load at the time when a load of weights that starts now has ended
	rolling        bool    // some ready copy has another version than the bundle requires
	serving        int     // ready copies
	loading        int     // copies that are being loaded

	// floor is the number of ready copies below which no order may bring it.
	floor int
	// need is the number of copies without which calls would wait, or a
	// version change could not start. At least floor.
	need int
	// target is need plus the warm spares.
	target int
	// keep is the number of copies that must remain after one is removed in
	// favour of a model with no higher load per copy. At least target.
	keep int
}

// copies returns how many copies are ready or loading.
func (m *modelView) copies() int { return m.serving + m.loading }

// computeNeeds fills in floor, need, target and keep.
func (m *modelView) computeNeeds(settings *Settings) {
	m.floor = min(m.MinReady, m.allowedEngines)
	if m.inUse || m.MinReady > 0 {
		m.floor = max(1, m.floor)
	}
	spares, steady := 0, 0.0
	if m.inUse {
		spares = settings.WarmSpares
		steady = max(m.predicted, m.demand.SlowLoad)
	}
	m.need = max(m.floor, m.copiesFor(m.predicted, settings.ScaleUpUtilisation))
	if m.demand.Queued > settings.ScaleUpQueue*float64(max(1, m.serving)) {
		m.need = max(m.need, m.serving+1)
	}
	if m.rolling {
		m.need = max(m.need, m.floor+1)
	}
	m.need = min(m.need, m.allowedEngines)
	m.target = min(m.need+spares, m.allowedEngines)
	m.keep = min(max(m.target, m.copiesFor(steady, settings.ScaleDownUtilisation)+spares), m.allowedEngines)
}

// copiesFor returns how many copies serve a load at the given utilisation.
func (m *modelView) copiesFor(load, utilisation float64) int {
	return int(math.Ceil(load/(m.batchSlots*utilisation) - 1e-9))
}

// loadPerCopy returns the predicted load on each of a number of copies. It is
// infinite with no copies, or with fewer than the floor.
func (m *modelView) loadPerCopy(copies int) float64 {
	if copies < m.floor || copies <= 0 {
		return math.Inf(1)
	}
	return m.predicted / float64(copies)
}

// averageBatchSlots returns the mean batch size of the engines that may hold
// the model, and how many such engines there are.
func averageBatchSlots(engines []*engineView, model string) (float64, int) {
	sum, count := 0, 0
	for _, engine := range engines {
		if !engine.Usable || !slices.Contains(engine.Allowed, model) {
			continue
		}
		count++
		sum += valueOr(engine.Report.MaxRunning, defaultBatchSlots)
	}
	if count == 0 {
		return defaultBatchSlots, 0
	}
	return float64(sum) / float64(count), count
}
