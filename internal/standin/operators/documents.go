package operators

import "time"

// ProcessSettings holds where a process runs and the content of its settings file.
type ProcessSettings struct {
	Node, IP, Zone              string
	ClientAddress, ReadyAddress string // IP:port
	FirstPort                   int    // of the range for ports that the system chooses
	LastPort                    int
	StoreAddress                string // IP:port
	Zones                       map[string]string
	GracePeriod                 time.Duration
	ColdFactor                  float64
	ColdSlack                   float64
	ContactBound, DrainBound    time.Duration
	EvacuationBound             time.Duration
	ConfigurationBound          time.Duration
	QuotaWindow                 time.Duration // in which tenants' requests are counted
	QuotaFraction               float64       // allowed excess over the limit, as a fraction of it
	QuotaSlack                  float64       // allowed excess in addition, in requests
	MemoryMB                    int           // of the process's machine; 0 for none given
}

// SettingsFile returns the content of a process's settings file, to be encoded as JSON.
func (p ProcessSettings) SettingsFile() map[string]any {
	limits := map[string]any{}
	if p.MemoryMB > 0 {
		limits["memory_mb"] = p.MemoryMB
	}
	return map[string]any{
		"limits":    limits,
		"node_name": p.Node, "ip": p.IP, "zone": p.Zone, "zones": p.Zones, "bootstrap": false,
		"listen":     map[string]any{"front": p.ClientAddress, "ready": p.ReadyAddress},
		"port_range": []int{p.FirstPort, p.LastPort},
		"bounds": map[string]any{
			"grace_s": p.GracePeriod.Seconds(), "cold_over": p.ColdFactor, "cold_slack": p.ColdSlack, "contact_ms": p.ContactBound.Milliseconds(),
			"drain_ms": p.DrainBound.Milliseconds(), "evac_ms": p.EvacuationBound.Milliseconds(), "config_ms": p.ConfigurationBound.Milliseconds(),
			"quota_window_s": p.QuotaWindow.Seconds(), "quota_over": p.QuotaFraction, "quota_slack": p.QuotaSlack,
		},
		"provider": map[string]any{"address": p.StoreAddress, "across": true},
	}
}

// Service is a service of the operator's configuration.
type Service struct {
	Name                  string
	TokensPerEvent        int // 0 if the engines do not stream
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
}

// Route is a route of the operator's configuration; its path prefix is its name.
type Route struct {
	Name, Kind, Service string
	SecondService       string  // empty for none
	SecondWeight        float64 // share of the second service, 0 to 1
	Timeout             time.Duration
	Attempts            int
	Retention           time.Duration // 0 if turns are not retained
	Resumable           bool
}

// Tenant is a tenant of the operator's configuration.
type Tenant struct {
	Name, Key   string
	Rate, Burst float64 // requests per second, and the burst above that; a rate of 0 means no limit
}

// HeaderTimeout is the time that the configuration allows for a request's headers.
const HeaderTimeout = 3 * time.Second

// defaultBodyBytes is the largest body of a request that a configuration allows, unless SetBodyLimit changes it.
const defaultBodyBytes = 100_000

// Configuration returns the configuration document as the operator writes it to the store.
func Configuration(version int, host string, services []Service, routes []Route, tenants []Tenant, idle time.Duration) map[string]any {
	configuration := map[string]any{
		"version": version, "services": serviceDocuments(services), "routes": routeDocuments(host, routes), "tenants": tenantDocuments(tenants),
		"limits": map[string]any{"header_bytes": 16384, "header_timeout_ms": HeaderTimeout.Milliseconds(), "idle_timeout_ms": idle.Milliseconds()},
	}
	SetBodyLimit(configuration, defaultBodyBytes)
	return configuration
}

// SetBodyLimit sets the largest body of a request, in bytes, that a configuration allows.
func SetBodyLimit(configuration map[string]any, bytes int) {
	configuration["limits"].(map[string]any)["body_bytes"] = bytes
}

func serviceDocuments(services []Service) []map[string]any {
	documents := make([]map[string]any, len(services))
	for i, service := range services {
		documents[i] = map[string]any{"name": service.Name, "max_conns": 200, "cold_s": service.ColdDuration.Seconds(), "cold_per_s": service.ColdRequestsPerSecond}
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
			"retain": route.Retention > 0, "retain_s": route.Retention.Seconds(), "sticky": true, "resumable": route.Resumable, "gap_target_ms": 200,
		}
		if route.SecondService != "" {
			documents[i]["backends"] = []map[string]any{
				{"service": route.Service, "weight": 1 - route.SecondWeight}, {"service": route.SecondService, "weight": route.SecondWeight},
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

// PutEngine writes an engine's entry. cold is how long the engine stays cold.
func (s *Store) PutEngine(engine *Engine, service, zone, state string, cold time.Duration) {
	record := engine.StoreEntry(service, state)
	record["zone"], record["cold_left_ms"] = zone, cold.Milliseconds()
	s.Put("servers", "", engine.ID, record)
}

// RemoveEngine deletes an engine's entry.
func (s *Store) RemoveEngine(id string) { s.Remove("servers", "", id) }

// PutConfiguration writes the operator's configuration.
func (s *Store) PutConfiguration(configuration map[string]any) {
	s.Put("op", "", "config", configuration)
}

// Evacuate writes the order to evacuate a zone.
func (s *Store) Evacuate(zone string) {
	s.Put("op", "", "evacuate/"+zone, map[string]any{"zone": zone})
}

// CancelEvacuation deletes the order to evacuate a zone.
func (s *Store) CancelEvacuation(zone string) { s.Remove("op", "", "evacuate/"+zone) }
