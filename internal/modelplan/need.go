package modelplan

import (
	"math"
	"slices"
)

// modelView is one model of the bundle, what is asked of it, and how many
// copies that takes.
type modelView struct {
	Model
	demand    Demand
	inUse     bool
	allowed   int     // usable engines that may hold it
	slots     float64 // places in the batch of one engine, on average
	predicted float64 // load at the time when a load that starts now has ended
	rolling   bool    // some ready copy is of another version than wanted
	serving   int
	loading   int // copies on their way in

	// floor: ready copies below which no order may bring it.
	floor int
	// need: copies without which calls would wait, or a version change could
	// not begin. At least floor.
	need int
	// target: need and the warm spares.
	target int
	// keep: copies that it must have left to give one to a model that is not
	// pressed harder. At least target.
	keep int
}

// have is how many copies serve or will.
func (m *modelView) have() int { return m.serving + m.loading }

// computeNeeds fills in floor, need, target and keep.
func (m *modelView) computeNeeds(settings *Settings) {
	m.floor = min(m.MinReady, m.allowed)
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
	m.need = min(m.need, m.allowed)
	m.target = min(m.need+spares, m.allowed)
	m.keep = min(max(m.target, m.copiesFor(steady, settings.ScaleDownUtilisation)+spares), m.allowed)
}

// copiesFor returns the copies that carry a load at a utilisation.
func (m *modelView) copiesFor(load, utilisation float64) int {
	return int(math.Ceil(load/(m.slots*utilisation) - 1e-9))
}

// pressure is the load on each of a number of copies: without a copy for it,
// a load presses without bound, as does a floor that is not reached.
func (m *modelView) pressure(copies int) float64 {
	if copies < m.floor || copies <= 0 {
		return math.Inf(1)
	}
	return m.predicted / float64(copies)
}

// averageSlots returns the mean batch size of the engines that may hold the
// model, and how many there are.
func averageSlots(engines []*engineView, model string) (float64, int) {
	sum, count := 0, 0
	for _, engine := range engines {
		if !engine.Usable || !slices.Contains(engine.Allowed, model) {
			continue
		}
		count++
		sum += valueOr(engine.Report.MaxRunning, defaultSlots)
	}
	if count == 0 {
		return defaultSlots, 0
	}
	return float64(sum) / float64(count), count
}
