// Package bundle implements the operators' configuration bundle: its schema, strict decoding, validation,
// canonical digest, sign-offs, diff, and its distribution between nodes. It holds all configuration except
// each node's own address and zone.
package bundle

import "github.com/pewtermill/pewtermill/api"

// Bundle is one version of the configuration, as written in YAML. Unknown fields are errors. Durations are
// in milliseconds, money in api.Credits, token prices in Credits per million tokens. The order of the named
// lists (operators to engines) is not significant. The json and yaml tags of a field have the same name:
// people write YAML, and JSON is the canonical form.
type Bundle struct {
	Version     uint64     `json:"version" yaml:"version"`
	BaseVersion uint64     `json:"base_version" yaml:"base_version"` // version that this one replaces; 0 for the first
	Deployment  string     `json:"deployment" yaml:"deployment"`
	Operators   []Operator `json:"operators" yaml:"operators"`
	Reviewers   []Reviewer `json:"reviewers" yaml:"reviewers"`
	SignOffs    int        `json:"sign_offs" yaml:"sign_offs"` // distinct reviewers that must sign the next bundle; at least 1
	Zones       []Zone     `json:"zones" yaml:"zones"`
	Cells       []Cell     `json:"cells" yaml:"cells"`
	Tenants     []Tenant   `json:"tenants" yaml:"tenants"`
	Classes     []Class    `json:"classes" yaml:"classes"`
	Models      []Model    `json:"models" yaml:"models"`
	Tools       []Tool     `json:"tools" yaml:"tools"`
	Engines     []Engine   `json:"engines" yaml:"engines"`
	Scheduling  Scheduling `json:"scheduling" yaml:"scheduling"`
	ModelPlan   ModelPlan  `json:"model_plan,omitzero" yaml:"model_plan"`
	Retention   Retention  `json:"retention,omitzero" yaml:"retention"`
	Limits      Limits     `json:"limits" yaml:"limits"`
}

// Operator may read status and submit bundles. KeyDigest is the hexadecimal SHA-256 of the operator's key.
type Operator struct {
	Name      string `json:"name" yaml:"name"`
	KeyDigest string `json:"key_digest" yaml:"key_digest"`
}

// Reviewer signs bundles. PublicKey is an ed25519 key in base64.
type Reviewer struct {
	Name      string `json:"name" yaml:"name"`
	PublicKey string `json:"public_key" yaml:"public_key"`
}

// Zone is a failure domain within a region. Distances lists the one-way delays to other zones; every pair
// of zones needs one, given at one of the two zones, or with the same value at both.
type Zone struct {
	Name      string     `json:"name" yaml:"name"`
	Region    string     `json:"region" yaml:"region"`
	Distances []Distance `json:"distances,omitempty" yaml:"distances"`
}

// Distance is a one-way network delay in milliseconds.
type Distance struct {
	To     string  `json:"to" yaml:"to"`
	Millis float64 `json:"millis" yaml:"millis"`
}

// Cell names a group of nodes. Seeds are peer addresses, each as HOST:PORT, by which nodes of other cells
// reach it, and by which its own nodes join at their start.
type Cell struct {
	Name   string   `json:"name" yaml:"name"`
	Region string   `json:"region" yaml:"region"`
	Seeds  []string `json:"seeds" yaml:"seeds"`
}

// Tenant is a customer. KeyDigests are SHA-256 of its keys, 64 hexadecimal
// digits each; at least one.
type Tenant struct {
	Name        string   `json:"name" yaml:"name"`
	KeyDigests  []string `json:"key_digests" yaml:"key_digests"`
	Weight      float64  `json:"weight" yaml:"weight"`                       // share under contention; 0 = DefaultTenantWeight
	Models      []string `json:"models" yaml:"models"`                       // allowed; empty means all
	Tools       []string `json:"tools" yaml:"tools"`                         // allowed; empty means all
	MaxPrograms int      `json:"max_programs,omitempty" yaml:"max_programs"` // per node; 0 = no limit

	// RequestsPerSecond and Burst limit the tenant's requests, counted over all nodes: in any span of
	// time, at most Burst plus RequestsPerSecond times the span's seconds. Without RequestsPerSecond
	// there is no limit.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty" yaml:"requests_per_second"`
	Burst             float64 `json:"burst,omitempty" yaml:"burst"` // in requests

	// Priority takes precedence over that of a route; 0 is the most urgent. The operators' platform
	// sets it; bundles use Weight instead.
	Priority int `json:"-" yaml:"-"`
}

// Class is a kind of program, with its worth and its limits. A limit of 0 means no limit, except for
// MaxBudget, which every class must set.
type Class struct {
	Name           string      `json:"name" yaml:"name"`
	Worth          float64     `json:"worth" yaml:"worth"`                     // value of one completed program
	DeadlineMillis int64       `json:"deadline_millis" yaml:"deadline_millis"` // default, for the whole program
	MaxBudget      api.Credits `json:"max_budget" yaml:"max_budget"`
	MaxCalls       int64       `json:"max_calls" yaml:"max_calls"`
	MaxDepth       int         `json:"max_depth" yaml:"max_depth"`
	MaxTokens      int64       `json:"max_tokens" yaml:"max_tokens"`
	MaxWallMillis  int64       `json:"max_wall_millis" yaml:"max_wall_millis"`
}

// Model is a model that engines serve.
type Model struct {
	Name             string      `json:"name" yaml:"name"`
	Version          string      `json:"version,omitempty" yaml:"version"` // of the weights; empty = any version that the engine has
	ContextTokens    int64       `json:"context_tokens" yaml:"context_tokens"`
	DefaultMaxTokens int64       `json:"default_max_tokens" yaml:"default_max_tokens"`
	PromptPrice      api.Credits `json:"prompt_price" yaml:"prompt_price"`
	CachedPrice      api.Credits `json:"cached_price" yaml:"cached_price"`
	CompletionPrice  api.Credits `json:"completion_price" yaml:"completion_price"`
	MinReadyEngines  int         `json:"min_ready_engines,omitempty" yaml:"min_ready_engines"` // engines to keep ready; default 0
	WeightBytes      int64       `json:"weight_bytes,omitempty" yaml:"weight_bytes"`           // read from the weight store per load; 0 = DefaultWeightBytes
	Adapters         []Adapter   `json:"adapters,omitempty" yaml:"adapters"`                   // loaded on every engine that has the model
}

// Adapter is a small set of weights that is applied to a model.
type Adapter struct {
	Name    string `json:"name" yaml:"name"`
	Version string `json:"version,omitempty" yaml:"version"`
}

// Tool is a tool service. Lookup means that the tool can return the outcome recorded under an idempotency
// key.
type Tool struct {
	Name          string      `json:"name" yaml:"name"`
	URL           string      `json:"url" yaml:"url"`
	Zone          string      `json:"zone" yaml:"zone"`
	Price         api.Credits `json:"price" yaml:"price"`
	Lookup        bool        `json:"lookup" yaml:"lookup"`
	TimeoutMillis int64       `json:"timeout_millis" yaml:"timeout_millis"`           // 0 = DefaultToolTimeoutMillis
	MaxConcurrent int         `json:"max_concurrent,omitempty" yaml:"max_concurrent"` // per node; 0 = no limit
}

// Engine is a model engine. Models are the models that it may load; which of them it has loaded at a time
// depends on demand.
type Engine struct {
	Name      string   `json:"name" yaml:"name"`
	URL       string   `json:"url" yaml:"url"`
	Zone      string   `json:"zone" yaml:"zone"`
	Cell      string   `json:"cell" yaml:"cell"`
	Models    []string `json:"models" yaml:"models"`
	MaxModels int      `json:"max_models,omitempty" yaml:"max_models"` // models that fit in memory together; 0 = all of Models
	Role      string   `json:"role,omitempty" yaml:"role"`             // prefill, decode or both; empty = unchanged
}

// Scheduling holds every weight of placement and ordering. A zero value means the default that
// internal/scheduler documents; a weight or the retry budget of -1 disables its rule.
type Scheduling struct {
	Policy             string  `json:"policy,omitempty" yaml:"policy"` // program_aware (default), round_robin, least_loaded, session_affinity
	WaitWeight         float64 `json:"wait_weight,omitempty" yaml:"wait_weight"`
	PrefixWeight       float64 `json:"prefix_weight,omitempty" yaml:"prefix_weight"`
	DistanceWeight     float64 `json:"distance_weight,omitempty" yaml:"distance_weight"`
	WorthWeight        float64 `json:"worth_weight,omitempty" yaml:"worth_weight"`
	SlackWeight        float64 `json:"slack_weight,omitempty" yaml:"slack_weight"`
	AttainedWeight     float64 `json:"attained_weight,omitempty" yaml:"attained_weight"`
	AgingPerSecond     float64 `json:"aging_per_second,omitempty" yaml:"aging_per_second"`
	MaxQueue           int     `json:"max_queue,omitempty" yaml:"max_queue"`
	RetryBudget        float64 `json:"retry_budget,omitempty" yaml:"retry_budget"` // retries per new call, not counting each call's first retry
	EngineMaxAgeMillis int64   `json:"engine_max_age_millis,omitempty" yaml:"engine_max_age_millis"`
}

// ModelPlan configures how models are placed on engines. Zero means the default that internal/modelplan
// documents.
type ModelPlan struct {
	Disabled                  bool    `json:"disabled,omitempty" yaml:"disabled"` // no orders are issued
	MaxConcurrentLoads        int     `json:"max_concurrent_loads,omitempty" yaml:"max_concurrent_loads"`
	WeightStoreBytesPerSecond int64   `json:"weight_store_bytes_per_second,omitempty" yaml:"weight_store_bytes_per_second"` // of one cell
	ScaleUpUtilisation        float64 `json:"scale_up_utilisation,omitempty" yaml:"scale_up_utilisation"`
	ScaleDownUtilisation      float64 `json:"scale_down_utilisation,omitempty" yaml:"scale_down_utilisation"`
	ScaleUpQueue              float64 `json:"scale_up_queue,omitempty" yaml:"scale_up_queue"`
	WarmSpares                int     `json:"warm_spares,omitempty" yaml:"warm_spares"` // -1 = none
	CooldownMillis            int64   `json:"cooldown_millis,omitempty" yaml:"cooldown_millis"`
	InUseMillis               int64   `json:"in_use_millis,omitempty" yaml:"in_use_millis"`
}

// Retention configures whether a program's cache is retained while the program pauses between two model
// calls.
type Retention struct {
	HoldCost    float64 `json:"hold_cost,omitempty" yaml:"hold_cost"`       // of one second of memory, per second to rebuild; 0 = caches are always retained
	LowPressure float64 `json:"low_pressure,omitempty" yaml:"low_pressure"` // fraction of memory in use up to which every cache is retained; 0 = scheduler.DefaultLowPressure
}

// Limits restricts what callers may send and how long rows are kept. Zero means the Default constant of the
// same name.
type Limits struct {
	MaxBodyBytes     int64 `json:"max_body_bytes,omitempty" yaml:"max_body_bytes"`
	MaxSequenceAhead int64 `json:"max_sequence_ahead,omitempty" yaml:"max_sequence_ahead"`
	EndedKeepMillis  int64 `json:"ended_keep_millis,omitempty" yaml:"ended_keep_millis"` // how long rows of ended programs are kept
}

// Signed is a bundle with its sign-offs. Source is the exact source that was signed.
type Signed struct {
	Source   []byte    `json:"source"`
	SignOffs []SignOff `json:"sign_offs"`
}

// SignOff is one reviewer's ed25519 signature over the canonical digest.
type SignOff struct {
	Reviewer  string `json:"reviewer"`
	Signature []byte `json:"signature"`
}
