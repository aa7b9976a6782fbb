package routing

import "sync"

// Splitter deals the requests of each route to its parts by weight. It is
// smooth weighted round robin: after any number of requests no part is more
// than one request away from its share. Safe for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	credit map[string][]float64 // by route name; index as in Route.Backends
}

// NewSplitter returns a splitter that has dealt nothing yet.
func NewSplitter() *Splitter {
	return &Splitter{credit: make(map[string][]float64)}
}

// Next returns the service whose turn it is. A route whose parts changed in
// number starts anew.
func (s *Splitter) Next(route *Route) string {
	if len(route.Backends) == 1 {
		return route.Backends[0].Service
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	credit := s.credit[route.Name]
	if len(credit) != len(route.Backends) {
		credit = make([]float64, len(route.Backends))
		s.credit[route.Name] = credit
	}
	total, chosen := 0.0, 0
	for i, part := range route.Backends {
		credit[i] += part.Weight
		total += part.Weight
		if credit[i] > credit[chosen] {
			chosen = i
		}
	}
	credit[chosen] -= total
	return route.Backends[chosen].Service
}
