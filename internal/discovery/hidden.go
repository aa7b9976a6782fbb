package discovery

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/routing"
)

// hide notes that an entry which cannot be read stands in the place of a name's own as of a version. What the
// engine's entry said of itself holds no more, but a start that is back with its own entry is the same one,
// which holds and knows what it did. One that does not tell its start may be another one.
func (s starts) hide(engines map[string]routing.Engine, name string, version uint64, now time.Time) {
	known := s[name]
	if known == nil {
		return
	}
	hidden := known.Born != 0 && (known.hidden || known.gone.IsZero())
	s.withdraw(engines, name, version, now)
	known.hidden = hidden && !known.gone.IsZero()
}

// hiddenEngines returns the identities of the starts that are hidden; nil if none is.
func (s starts) hiddenEngines() map[string]bool {
	var hidden map[string]bool
	for _, known := range s {
		if !known.hidden {
			continue
		}
		if hidden == nil {
			hidden = make(map[string]bool)
		}
		hidden[known.ID()] = true
	}
	return hidden
}
