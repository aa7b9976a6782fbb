// Package routing defines the operator's configuration of routes and services
// and the engines that serve them, as immutable values. It finds the route of a
// request; internal/placement chooses the engine that serves it.
package routing

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

// Kind determines whether a request may run more than once.
type Kind string

// Kinds of route.
const (
	Safe   Kind = "safe"   // may run any number of times
	Unsafe Kind = "unsafe" // runs at most once for each attempt of a client
	Stream Kind = "stream" // answered by events; treated as unsafe, unless resumable
)

// Backend is one target of a route: a service and its share of the requests.
type Backend struct {
	Service string
	Weight  float64 // relative to the weights of the route's other backends
}

// Route is one entry of the operator's route table.
type Route struct {
	Name         string
	Host         string
	PathPrefix   string // begins and ends with a slash
	Kind         Kind
	Timeout      time.Duration // max time that a request may be in progress; 0 = no limit
	LatencyGoal  time.Duration // time within which an answer has its full worth
	EventGapGoal time.Duration // max gap between a stream's events that counts as in time; 0 if unknown
	Priority     int           // 0 is the most urgent
	MaxAttempts  int           // max engines that one attempt of a client may run on; at least 1
	Backends     []Backend     // at least one
	Retain       bool          // the system stores the conversation, turn by turn
	RetainFor    time.Duration // how long a conversation can be continued from a stored turn
	Resumable    bool          // a stream may resume on another engine after its last event
	Public       bool          // callers need no key
	Regions      []string      // where it may be served, cached and stored; nil for everywhere
}

// Repeatable reports whether a request may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == Safe || (r.Kind == Stream && r.Resumable)
}

// Service is one group of equivalent engines.
type Service struct {
	Name           string
	MaxConnections int   // per engine, from all callers together; 0 if unknown
	TokensPerEvent int64 // tokens in one event of a stream; 0 if the service is no model
	CacheTokens    int64 // prompt cache of one engine; 0 if the service is no model

	// ColdDuration is how long an engine stays cold after its start while callers send
	// requests, and ColdRequestsPerSecond is its capacity during that time, from all
	// nodes together. An engine may also become cold at any other moment. 0: engines of the
	// service are never cold.
	ColdDuration          time.Duration
	ColdRequestsPerSecond float64
	HealthPath            string // path of an engine's health check
}

// Limits bound what a client may send, and how long it may take or stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one complete version of the operator's configuration.
type Configuration struct {
	Version  int64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// RequiresKeys reports whether callers need a key of one of the tenants, except on public
	// routes. Without it there are no tenants.
	RequiresKeys bool
	Tenants      []bundle.Tenant
	// TenantRegions are the regions in which a tenant's requests may be served, cached and
	// stored, by tenant name. A tenant that is not in it has no such restriction.
	TenantRegions map[string][]string
}

// HasRateLimits reports whether any tenant has a rate limit.
func (c *Configuration) HasRateLimits() bool {
	return slices.ContainsFunc(c.Tenants, func(tenant bundle.Tenant) bool { return tenant.RequestsPerSecond > 0 })
}

// Engine is one incarnation of an engine. A restart creates a new one with
// another ID, possibly under the same name and at the same address.
type Engine struct {
	Incarnation
	ID      string // Incarnation.ID(); key for all state about the engine
	Service string
	Address string // IP:port
	Zone    string
	// Version is that of the engine's software. Versions have no order, and any difference in the text
	// makes a different version. The outputs of engines of two versions do not fit together.
	Version  string
	Slots    int  // requests that it processes at once
	Draining bool // it finishes its requests, and accepts no new ones

	// ListedAt is when this node first listed the incarnation, some time after it started.
	ListedAt time.Time

	// ColdRemaining is how long the engine stays cold, as it reported when it wrote its
	// entry; that may have been some seconds ago.
	ColdRemaining time.Duration
}

// Table finds routes, and tenants by their keys. It is immutable.
type Table struct {
	Configuration *Configuration
	byHost        map[string][]*Route       // longest prefix first
	byKey         map[string]*bundle.Tenant // by the digest of a key
	priorities    map[string][]Priority     // of streams, by service, the most urgent first
}

// NewTable indexes a configuration, which must not change after the call.
func NewTable(configuration *Configuration) *Table {
	table := &Table{
		Configuration: configuration,
		byHost:        make(map[string][]*Route),
		byKey:         make(map[string]*bundle.Tenant),
	}
	table.priorities = prioritiesOf(configuration)
	for i := range configuration.Tenants {
		for _, digest := range configuration.Tenants[i].KeyDigests {
			table.byKey[digest] = &configuration.Tenants[i]
		}
	}
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		host := strings.ToLower(route.Host)
		table.byHost[host] = append(table.byHost[host], route)
	}
	for _, routes := range table.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return table
}

// Match returns the route of a host, with or without port, and a path: the
// one with the longest prefix of the path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for _, route := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Tenant returns the tenant that has the key with this digest, computed as in
// bundle.Tenant; nil if no tenant has it.
func (t *Table) Tenant(keyDigest string) *bundle.Tenant { return t.byKey[keyDigest] }
