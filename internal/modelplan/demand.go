package modelplan

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Time constants of the exponential averages of demand.
const (
	fastAverage = 10 * time.Second
	slowAverage = time.Minute
)

// Demand is the demand of calls for one model. Load is how many calls are queued
// or running, on average: by Little's law the batch slots that they need.
type Demand struct {
	Model          string        `json:"model"`
	CallsPerSecond float64       `json:"calls_per_second"`
	Load           float64       `json:"load"`      // fast average
	SlowLoad       float64       `json:"slow_load"` // slow average
	Queued         float64       `json:"queued"`    // part of Load that waits for an engine
	Active         int           `json:"active"`    // queued or running now
	Idle           time.Duration `json:"idle"`      // since the last call was active
}

// SumDemand adds up the demand that members report, by model, sorted by name.
func SumDemand(parts ...[]Demand) []Demand {
	sums := map[string]Demand{}
	for _, part := range parts {
		for _, demand := range part {
			sum, found := sums[demand.Model]
			if !found {
				sums[demand.Model] = demand
				continue
			}
			sum.CallsPerSecond += demand.CallsPerSecond
			sum.Load += demand.Load
			sum.SlowLoad += demand.SlowLoad
			sum.Queued += demand.Queued
			sum.Active += demand.Active
			sum.Idle = min(sum.Idle, demand.Idle)
			sums[demand.Model] = sum
		}
	}
	list := make([]Demand, 0, len(sums))
	for _, demand := range sums {
		list = append(list, demand)
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return list
}

// predicted returns the load after a lead time, assuming that it continues to
// grow at its present slope; at most twice the present load. An average with
// time constant T lags behind a steady growth by T times its slope, so the
// slope follows from the distance between the two averages.
func (d Demand) predicted(lead time.Duration) float64 {
	slope := (d.Load - d.SlowLoad) / (slowAverage - fastAverage).Seconds()
	if slope <= 0 {
		return d.Load
	}
	horizon := fastAverage + min(lead, maxLead)
	return min(2*d.Load, d.Load+slope*horizon.Seconds())
}

// DemandMeter measures the demand on one node. The times passed to it must not
// decrease. It is not safe for concurrent use.
type DemandMeter struct{ models map[string]*modelMeter }

// modelMeter is the state of one model as of updatedAt.
type modelMeter struct {
	updatedAt time.Time
	queued    int
	running   int
	rate      float64
	load      float64
	slowLoad  float64
	queueLoad float64
}

// NewDemandMeter returns a DemandMeter without calls.
func NewDemandMeter() *DemandMeter { return &DemandMeter{models: map[string]*modelMeter{}} }

// Queued records that a call starts to wait for an engine.
func (m *DemandMeter) Queued(model string, now time.Time) {
	entry := m.advance(model, now)
	entry.queued++
	entry.rate += 1 / fastAverage.Seconds()
}

// Placed records that a queued call was sent to an engine.
func (m *DemandMeter) Placed(model string, now time.Time) {
	entry := m.advance(model, now)
	entry.queued--
	entry.running++
}

// Withdrawn records that a queued call stopped waiting without an engine.
func (m *DemandMeter) Withdrawn(model string, now time.Time) { m.advance(model, now).queued-- }

// Ended records that a placed call ended at its engine.
func (m *DemandMeter) Ended(model string, now time.Time) { m.advance(model, now).running-- }

// Read returns the demand for each model that has had calls, sorted by name. It
// drops models whose last call ended more than maxIdle ago.
func (m *DemandMeter) Read(now time.Time, maxIdle time.Duration) []Demand {
	list := make([]Demand, 0, len(m.models))
	for name, entry := range m.models {
		active := entry.queued + entry.running
		idle := now.Sub(entry.updatedAt)
		if active > 0 {
			idle = 0
		}
		if idle > maxIdle {
			delete(m.models, name)
			continue
		}
		current := *entry
		current.advance(now)
		list = append(list, Demand{
			Model:          name,
			CallsPerSecond: current.rate,
			Load:           current.load,
			SlowLoad:       current.slowLoad,
			Queued:         current.queueLoad,
			Active:         active,
			Idle:           idle,
		})
	}
	slices.SortFunc(list, func(a, b Demand) int { return cmp.Compare(a.Model, b.Model) })
	return list
}

// advance updates a model's averages to the given time.
func (m *DemandMeter) advance(model string, now time.Time) *modelMeter {
	entry := m.models[model]
	if entry == nil {
		entry = &modelMeter{updatedAt: now}
		m.models[model] = entry
	}
	entry.advance(now)
	return entry
}

func (e *modelMeter) advance(now time.Time) {
	elapsed := max(0, now.Sub(e.updatedAt)).Seconds()
	fast := math.Exp(-elapsed / fastAverage.Seconds())
	slow := math.Exp(-elapsed / slowAverage.Seconds())
	active := float64(e.queued + e.running)
	e.load = active + (e.load-active)*fast
	e.slowLoad = active + (e.slowLoad-active)*slow
	e.queueLoad = float64(e.queued) + (e.queueLoad-float64(e.queued))*fast
	e.rate *= fast
	e.updatedAt = now
}
