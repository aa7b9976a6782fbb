package placement

import "github.com/pewtermill/pewtermill/internal/routing"

// ofServices returns the engines of the services that the configuration names, or all engines
// while there is no configuration. An entry of another service may be a foreign entry, written by
// another writer, with the address of some engine or a zone that has no engines: it gets no
// requests, since no route names its service, and it is no evidence about addresses, zones and
// regions. The engine itself is kept, so that a later configuration that names the service finds it.
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
