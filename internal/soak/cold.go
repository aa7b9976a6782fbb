package soak

import (
	"maps"
	"time"
)

// Limits of cold engines, as written into the soak's settings files and configuration.
const (
	coldPerSecond = 4.0 // requests
	coldFactor    = 1.5 // factor on the limit
	coldSlack     = 5.0 // requests
	coldDuration  = 6 * time.Second
	coldWindow    = time.Second
)

// coldEngine is the state of an engine while it is cold.
type coldEngine struct {
	coldUntil time.Duration
	window    sendWindow // send times of the requests that have reached it
}

// coldLimits counts the requests that reach cold engines.
type coldLimits struct{ engines map[string]*coldEngine }

func newColdLimits() coldLimits { return coldLimits{engines: make(map[string]*coldEngine)} }

func (c *coldLimits) add(engine string, until time.Duration) {
	c.engines[engine] = &coldEngine{coldUntil: until}
}

// recordArrival returns how many requests were sent to and reached the engine in the window that ends now, and how
// many are allowed; cold is false if the engine is not cold.
func (c *coldLimits) recordArrival(now, sent time.Duration, engine string) (count int, limit float64, cold bool) {
	state := c.engines[engine]
	if state == nil || now >= state.coldUntil {
		return 0, 0, false
	}
	return state.window.add(now, sent, coldWindow), coldPerSecond*coldFactor + coldSlack, true
}

// dropWarm drops engines that are no longer cold.
func (c *coldLimits) dropWarm(now time.Duration) {
	maps.DeleteFunc(c.engines, func(_ string, state *coldEngine) bool { return now >= state.coldUntil })
}
