package ingress

import "sync"

// maxFirstRoutes bounds the routes that firstTurns knows.
const maxFirstRoutes = 4096

// firstTurns tells the first turn of a program from later ones. The prompt of a
// turn holds all that was said before in its line, and that of a sub-agent's
// turn its parent's, so the first has the fewest parts. How many that are is
// learned for each route. Safe for concurrent use.
type firstTurns struct {
	mutex  sync.Mutex
	fewest map[string]int // parts, by route
}

func newFirstTurns() *firstTurns { return &firstTurns{fewest: make(map[string]int)} }

// looksFirst takes notice of a turn and reports whether none on its route had
// fewer parts. A turn that names no parts does not look like a first one.
func (f *firstTurns) looksFirst(route string, parts int) bool {
	if parts == 0 {
		return false
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	fewest, known := f.fewest[route]
	if !known && len(f.fewest) >= maxFirstRoutes {
		return false
	}
	if !known || parts < fewest {
		f.fewest[route] = parts
		return true
	}
	return parts == fewest
}
