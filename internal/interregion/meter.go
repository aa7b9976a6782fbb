package interregion

import (
	"sync"
	"time"
)

// Observer is notified of inter-region traffic. It must not block.
type Observer interface {
	Transferred(direction Direction, kind Kind, bytes int)
}

// Meter guards a budget for concurrent use.
type Meter struct {
	now      func() time.Time
	observer Observer

	mutex  sync.Mutex
	budget *Budget
}

// NewMeter returns a meter of a budget; now is its clock.
func NewMeter(budget *Budget, now func() time.Time, observer Observer) *Meter {
	return &Meter{now: now, observer: observer, budget: budget}
}

// SetNodes sets the number of nodes of this node's region, this node included.
func (m *Meter) SetNodes(nodes int) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.budget.SetNodes(nodes)
}

// NodeRate returns this node's share in bytes per second and direction; 0 if no limit is known.
func (m *Meter) NodeRate() float64 {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.budget.NodeRate()
}

// Allows reports whether traffic of a kind to a region and back is allowed now.
func (m *Meter) Allows(region string, kind Kind) bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.budget.Allows(region, kind, m.now())
}

// Counter returns a counter for the bytes of one connection to a region.
func (m *Meter) Counter(region string, kind Kind) *Counter {
	return &Counter{meter: m, region: region, kind: kind}
}

// Counter counts the bytes of one connection. A nil Counter, for a connection that does not leave
// the region, counts nothing. Safe for concurrent use.
type Counter struct {
	meter  *Meter
	region string
	kind   Kind
}

// Sent counts bytes that were sent.
func (c *Counter) Sent(bytes int) { c.count(Sent, bytes) }

// Received counts bytes that were received.
func (c *Counter) Received(bytes int) { c.count(Received, bytes) }

func (c *Counter) count(direction Direction, bytes int) {
	if c == nil || bytes <= 0 {
		return
	}
	c.meter.mutex.Lock()
	c.meter.budget.Spend(c.region, direction, bytes, c.meter.now())
	c.meter.mutex.Unlock()
	c.meter.observer.Transferred(direction, c.kind, bytes)
}
