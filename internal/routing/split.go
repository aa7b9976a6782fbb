package routing

import "sync"

// Splitter distributes the requests of each route to its backends by weight, with
// smooth weighted round robin: after any number of requests each backend is
// within one request of its share. Safe for concurrent use.
type Splitter struct {
	mutex  sync.Mutex
	credit map[string][]float64 // by route name; index as in Route.Backends
}

// NewSplitter returns a splitter without any distributed requests.
func NewSplitter() *Splitter {
	return &Splitter{credit: make(map[string][]float64)}
}

// Next returns the service that gets the next request. If the number of a route's backends
// changes, the route starts again from zero credit.
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
	for i, backend := range route.Backends {
		credit[i] += backend.Weight
		total += backend.Weight
		if credit[i] > credit[chosen] {
			chosen = i
		}
	}
	credit[chosen] -= total
	return route.Backends[chosen].Service
}
