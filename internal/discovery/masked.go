package discovery

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// mask records that an unreadable entry has replaced a name's own entry as of a version. The content of the
// engine's entry is then invalid, but an incarnation that is back with its own entry is the same one,
// in the state that it had before. One that does not report its start time may be another incarnation.
func (s incarnations) mask(engines map[string]routing.Engine, name string, version uint64, now time.Time) {
	newest := s[name]
	if newest == nil {
		return
	}
	masked := newest.maskCandidate()
	s.remove(engines, name, version, now)
	if !newest.unlistedSince.IsZero() {
		newest.setMasked(masked, now)
	}
}

// setMasked sets which incarnation is masked; empty for none.
func (inc *incarnation) setMasked(id string, now time.Time) {
	if id != inc.masked {
		inc.masked, inc.maskedSince = id, now
	}
}

// maskCandidate returns the incarnation that is masked if another writer's entry replaces the listed one; empty for none.
func (inc *incarnation) maskCandidate() string {
	if inc.masked == "" && inc.unlistedSince.IsZero() && inc.StartUnixMilli != 0 {
		return inc.ID()
	}
	return inc.masked
}

// maskedAfter returns which incarnation of the name is masked once an entry is accepted; empty for none. An entry of a
// service that is not in the configuration is another writer's; one of a configured service is assumed to be the engine's own.
func (inc *incarnation) maskedAfter(engine routing.Engine, mayServe func(service string) bool) string {
	switch {
	case mayServe(engine.Service), engine.ID == inc.masked:
		return ""
	case engine.Incarnation == inc.Incarnation, !mayServe(inc.service): // the other writer's entry again
		return inc.masked
	default:
		return inc.maskCandidate()
	}
}

// maskedEngines returns the identities of the masked incarnations; nil if there are none.
func (s incarnations) maskedEngines() map[string]bool {
	var masked map[string]bool
	for _, newest := range s {
		if newest.masked == "" {
			continue
		}
		if masked == nil {
			masked = make(map[string]bool)
		}
		masked[newest.masked] = true
	}
	return masked
}
