package operators

import "time"

// Place is where a process runs and what its settings file tells it.
type Place struct {
	Node, IP, Zone    string
	Front, Ready      string // addresses
	FirstPort         int    // of those that are left to the system
	LastPort          int
	Store             string // address
	Zones             map[string]string
	Grace             time.Duration
	ColdOver          float64
	ColdSlack         float64
	Contact, Drain    time.Duration
	Evacuation        time.Duration
	ConfigurationTime time.Duration
	QuotaWindow       time.Duration // over which tenants' requests are counted
	QuotaOver         float64       // so many times the limit, and
	QuotaSlack        float64       // so many requests may be counted beyond it
}

// SettingsFile returns the content of a process's settings file, to be written as JSON.
func (p Place) SettingsFile() map[string]any {
	return map[string]any{
		"node_name": p.Node, "ip": p.IP, "zone": p.Zone, "zones": p.Zones, "bootstrap": false,
		"listen":     map[string]any{"front": p.Front, "ready": p.Ready},
		"port_range": []int{p.FirstPort, p.LastPort},
		"bounds": map[string]any{
			"grace_s": p.Grace.Seconds(), "cold_over": p.ColdOver, "cold_slack": p.ColdSlack, "contact_ms": p.Contact.Milliseconds(),
			"drain_ms": p.Drain.Milliseconds(), "evac_ms": p.Evacuation.Milliseconds(), "config_ms": p.ConfigurationTime.Milliseconds(),
			"quota_window_s": p.QuotaWindow.Seconds(), "quota_over": p.QuotaOver, "quota_slack": p.QuotaSlack,
		},
		"provider": map[string]any{"address": p.Store, "across": true},
	}
}

// Service is a service of the operator's configuration.
type Service struct {
	Name           string
	TokensPerEvent int // 0 where engines don't stream
	ColdFor        time.Duration
	ColdPerSecond  float64
}

// Route is a route of the operator's configuration; its path prefix is its name.
type Route struct {
	Name, Kind, Service string
	Also                string  // a second service, or none
	AlsoWeight          float64 // of 1
	Timeout             time.Duration
	Attempts            int
	Retain              time.Duration // 0 where turns aren't kept
	Resumable           bool
}

// Tenant is a tenant of the operator's configuration.
type Tenant struct {
	Name, Key   string
	Rate, Burst float64 // requests a second, and above that; without a rate there is no limit
}

// Configuration returns what the operator writes.
func Configuration(version int, host string, services []Service, routes []Route, tenants []Tenant, idle time.Duration) map[string]any {
	return map[string]any{
		"version": version, "services": serviceDocuments(services), "routes": routeDocuments(host, routes), "tenants": tenantDocuments(tenants),
		"limits": map[string]any{"header_bytes": 16384, "body_bytes": 100_000, "header_timeout_ms": 3000, "idle_timeout_ms": idle.Milliseconds()},
	}
}

func serviceDocuments(services []Service) []map[string]any {
	documents := make([]map[string]any, len(services))
	for i, service := range services {
		documents[i] = map[string]any{"name": service.Name, "max_conns": 200, "cold_s": service.ColdFor.Seconds(), "cold_per_s": service.ColdPerSecond}
		if service.TokensPerEvent > 0 {
			documents[i]["engine"] = map[string]any{"tokens_per_event": service.TokensPerEvent, "kv_tokens": 100_000}
		}
	}
	return documents
}

func routeDocuments(host string, routes []Route) []map[string]any {
	documents := make([]map[string]any, len(routes))
	for i, route := range routes {
		documents[i] = map[string]any{
			"name": route.Name, "host": host, "path_prefix": "/" + route.Name + "/", "kind": route.Kind, "service": route.Service,
			"timeout_ms": route.Timeout.Milliseconds(), "goal_ms": 200, "priority": 1, "max_attempts": route.Attempts,
			"retain": route.Retain > 0, "retain_s": route.Retain.Seconds(), "sticky": true, "resumable": route.Resumable, "gap_target_ms": 200,
		}
		if route.Also != "" {
			documents[i]["backends"] = []map[string]any{
				{"service": route.Service, "weight": 1 - route.AlsoWeight}, {"service": route.Also, "weight": route.AlsoWeight},
			}
		}
	}
	return documents
}

func tenantDocuments(tenants []Tenant) []map[string]any {
	documents := make([]map[string]any, len(tenants))
	for i, tenant := range tenants {
		documents[i] = map[string]any{"name": tenant.Name, "api_keys": []string{tenant.Key}, "priority": 1, "rate_per_s": tenant.Rate, "burst": tenant.Burst}
	}
	return documents
}

// PutEngine writes an engine's entry.
func (s *Store) PutEngine(engine *Engine, service, zone, state string, cold time.Duration) {
	record := engine.Record(service, state)
	record["zone"], record["cold_left_ms"] = zone, cold.Milliseconds()
	s.Put("servers", "", engine.ID, record)
}

// RemoveEngine drops an engine's entry.
func (s *Store) RemoveEngine(id string) { s.Remove("servers", "", id) }

// PutConfiguration writes the operator's configuration.
func (s *Store) PutConfiguration(configuration map[string]any) {
	s.Put("op", "", "config", configuration)
}

// Evacuate orders a zone's evacuation.
func (s *Store) Evacuate(zone string) {
	s.Put("op", "", "evacuate/"+zone, map[string]any{"zone": zone})
}

// TakeBack takes the order of a zone's evacuation back.
func (s *Store) TakeBack(zone string) { s.Remove("op", "", "evacuate/"+zone) }
