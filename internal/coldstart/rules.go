// Package coldstart limits the requests to engines that have just started, reappeared or become
// usable again after an evacuation: such an engine is cold, and has a capacity of only a few
// requests per second until it is warm.
package coldstart

// Rules set by how much the requests that all nodes together send a cold engine in any second may
// exceed its capacity while cold.
type Rules struct {
	Factor float64 // multiple of the capacity
	Slack  float64 // additional requests
}

// DefaultRules apply if the operator sets none: no tolerance but for one request.
var DefaultRules = Rules{Factor: 1, Slack: 1}

// Limit returns how many requests all nodes together may send in any second to an engine with the
// given capacity while cold, in requests per second.
func (r Rules) Limit(capacity float64) float64 { return capacity*r.Factor + r.Slack }
