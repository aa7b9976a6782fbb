package placement

import "github.com/pewtermill/pewtermill/internal/routing"

// ofServices returns the engines of the services that a configuration names; all while there is
// none. An entry of another service may be another writer's, with the address of some engine or
// a zone in which nothing is: it gets no requests, since no route names its service, and tells
// nothing about addresses, zones and regions. Its engine is known all the same, so that a
// configuration that names the service later finds it.
func ofServices(engines map[string]routing.Engine, services map[string]routing.Service) map[string]routing.Engine {
	if services == nil {
		return engines
	}
	served := make(map[string]routing.Engine, len(engines))
	for id, engine := range engines {
		if _, named := services[engine.Service]; named {
			served[id] = engine
		}
	}
	return served
}
