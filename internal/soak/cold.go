package soak

import (
	"maps"
	"time"
)

// Limits of cold engines in the soak's settings file and configuration.
const (
	coldPerSecond = 4.0 // requests
	coldOver      = 1.5 // times
	coldSlack     = 5.0 // requests
	coldFor       = 6 * time.Second
	coldWindow    = time.Second
)

// coldEngine is an engine while it is cold.
type coldEngine struct {
	until time.Duration
	sent  sentLately // what has reached it
}

// coldLimits counts what cold engines get.
type coldLimits struct{ engines map[string]*coldEngine }

func newColdLimits() coldLimits { return coldLimits{engines: make(map[string]*coldEngine)} }

func (c *coldLimits) add(engine string, until time.Duration) {
	c.engines[engine] = &coldEngine{until: until}
}

// arrived returns how many requests were sent to and reached the engine in the window that
// ends now, and how many may; cold is false if the engine is not cold.
func (c *coldLimits) arrived(now, sent time.Duration, engine string) (count int, limit float64, cold bool) {
	state := c.engines[engine]
	if state == nil || now >= state.until {
		return 0, 0, false
	}
	return state.sent.add(now, sent, coldWindow), coldPerSecond*coldOver + coldSlack, true
}

// forget drops engines that are warm.
func (c *coldLimits) forget(now time.Duration) {
	maps.DeleteFunc(c.engines, func(_ string, state *coldEngine) bool { return now >= state.until })
}
