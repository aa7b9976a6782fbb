package serving

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// retentions are the retention times of the routes that keep turns, by name.
type retentions map[string]time.Duration

// retentionsOf returns the retention times of a configuration's routes.
func retentionsOf(routes []routing.Route) retentions {
	times := make(retentions)
	for _, route := range routes {
		if route.Retain {
			times[route.Name] = route.RetainFor
		}
	}
	return times
}

// extendedTo returns the retention times that routes have longer in a later configuration, with the longest of those.
func (r retentions) extendedTo(later retentions) map[time.Duration]time.Duration {
	extended := make(map[time.Duration]time.Duration)
	for name, retention := range later {
		if earlier, kept := r[name]; kept && retention > earlier {
			extended[earlier] = max(extended[earlier], retention)
		}
	}
	return extended
}

// extendRetentions extends the retention of earlier turns of the routes that keep turns for longer than before. The view
// mutex is held.
func (p *Process) extendRetentions(routes []routing.Route) {
	before := p.retentions
	p.retentions = retentionsOf(routes)
	for earlier, retention := range before.extendedTo(p.retentions) {
		p.ledger.ExtendRetention(earlier, retention)
	}
}
