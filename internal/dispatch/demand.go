package dispatch

import (
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/modelplan"
)

// demandRetention is how long after its last call a model is still included in the demand that the node
// reports.
const demandRetention = time.Hour

// demandMeter is a modelplan.DemandMeter that is safe for concurrent use.
type demandMeter struct {
	mutex sync.Mutex
	meter *modelplan.DemandMeter
}

func newDemandMeter() *demandMeter { return &demandMeter{meter: modelplan.NewDemandMeter()} }

// record passes one step of a call to the meter, as of now.
func (d *demandMeter) record(step func(m *modelplan.DemandMeter, model string, now time.Time), model string) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	step(d.meter, model, time.Now())
}

// Demand returns the demand for models on this node.
func (d *Dispatcher) Demand() []modelplan.Demand {
	d.demand.mutex.Lock()
	defer d.demand.mutex.Unlock()
	return d.demand.meter.Read(time.Now(), demandRetention)
}
