// Package bundle is the operators' configuration: its schema, strict
// decoding, checks, canonical digest, sign-offs, diff, and its spread between
// nodes. Everything that is not a node's address or zone lives here.
package bundle

import "github.com/pewtermill/pewtermill/api"

// Bundle is one version of the configuration, as written in YAML.
// Unknown fields are errors. Durations are in milliseconds, money in
// api.Credits, token prices in Credits per million tokens.
type Bundle struct {
	Version     uint64     `json:"version"`
	BaseVersion uint64     `json:"base_version"` // version that this one replaces; 0 for the first
	Deployment  string     `json:"deployment"`
	Operators   []Operator `json:"operators"`
	Reviewers   []Reviewer `json:"reviewers"`
	SignOffs    int        `json:"sign_offs"` // distinct reviewers that the next bundle needs
	Zones       []Zone     `json:"zones"`
	Cells       []Cell     `json:"cells"`
	Tenants     []Tenant   `json:"tenants"`
	Classes     []Class    `json:"classes"`
	Models      []Model    `json:"models"`
	Tools       []Tool     `json:"tools"`
	Engines     []Engine   `json:"engines"`
	Scheduling  Scheduling `json:"scheduling"`
	Limits      Limits     `json:"limits"`
}

// Operator may read status and submit bundles. KeyDigest is SHA-256 of the
// operator's key, hexadecimal.
type Operator struct {
	Name      string `json:"name"`
	KeyDigest string `json:"key_digest"`
}

// Reviewer signs bundles. PublicKey is ed25519, base64.
type Reviewer struct {
	Name      string `json:"name"`
	PublicKey string `json:"public_key"`
}

// Zone is a place. Distances lists one-way delay to other zones.
type Zone struct {
	Name      string     `json:"name"`
	Region    string     `json:"region"`
	Distances []Distance `json:"distances,omitempty"`
}

// Distance is a one-way network delay in milliseconds.
type Distance struct {
	To     string  `json:"to"`
	Millis float64 `json:"millis"`
}

// Cell names a group of nodes; Seeds are peer addresses by which nodes of
// other cells, and its own at start, reach it.
type Cell struct {
	Name   string   `json:"name"`
	Region string   `json:"region"`
	Seeds  []string `json:"seeds"`
}

// Tenant is a customer. KeyDigests are SHA-256 of its keys, hexadecimal.
type Tenant struct {
	Name        string   `json:"name"`
	KeyDigests  []string `json:"key_digests"`
	Weight      float64  `json:"weight"` // share under contention; default 1
	Models      []string `json:"models"` // allowed; empty means all
	Tools       []string `json:"tools"`
	MaxPrograms int      `json:"max_programs,omitempty"` // per node; 0 = no limit
}

// Class is a kind of program, with its worth and its limits.
type Class struct {
	Name           string      `json:"name"`
	Worth          float64     `json:"worth"`           // of one completed program
	DeadlineMillis int64       `json:"deadline_millis"` // usual, for the whole program
	MaxBudget      api.Credits `json:"max_budget"`
	MaxCalls       int64       `json:"max_calls"`
	MaxDepth       int         `json:"max_depth"`
	MaxTokens      int64       `json:"max_tokens"`
	MaxWallMillis  int64       `json:"max_wall_millis"`
}

// Model is what engines serve.
type Model struct {
	Name             string      `json:"name"`
	Version          string      `json:"version,omitempty"`
	ContextTokens    int64       `json:"context_tokens"`
	DefaultMaxTokens int64       `json:"default_max_tokens"`
	PromptPrice      api.Credits `json:"prompt_price"`
	CachedPrice      api.Credits `json:"cached_price"`
	CompletionPrice  api.Credits `json:"completion_price"`
	MinReadyEngines  int         `json:"min_ready_engines,omitempty"`
}

// Tool is a tool service. Lookup says that the tool can tell the outcome of
// an idempotency key.
type Tool struct {
	Name          string      `json:"name"`
	URL           string      `json:"url"`
	Zone          string      `json:"zone"`
	Price         api.Credits `json:"price"`
	Lookup        bool        `json:"lookup"`
	TimeoutMillis int64       `json:"timeout_millis"`
	MaxConcurrent int         `json:"max_concurrent,omitempty"` // per node; 0 = no limit
}

// Engine is a model engine.
type Engine struct {
	Name   string   `json:"name"`
	URL    string   `json:"url"`
	Zone   string   `json:"zone"`
	Cell   string   `json:"cell"`
	Models []string `json:"models"`
}

// Scheduling holds every weight of placement and ordering. A zero value
// means the default that internal/scheduler documents.
type Scheduling struct {
	Policy             string  `json:"policy,omitempty"` // program_aware (default), round_robin, least_loaded, session_affinity
	WaitWeight         float64 `json:"wait_weight,omitempty"`
	PrefixWeight       float64 `json:"prefix_weight,omitempty"`
	DistanceWeight     float64 `json:"distance_weight,omitempty"`
	WorthWeight        float64 `json:"worth_weight,omitempty"`
	SlackWeight        float64 `json:"slack_weight,omitempty"`
	AttainedWeight     float64 `json:"attained_weight,omitempty"`
	AgingPerSecond     float64 `json:"aging_per_second,omitempty"`
	MaxQueue           int     `json:"max_queue,omitempty"`
	RetryBudget        float64 `json:"retry_budget,omitempty"`
	EngineMaxAgeMillis int64   `json:"engine_max_age_millis,omitempty"`
}

// Limits bounds what callers may send.
type Limits struct {
	MaxBodyBytes     int64 `json:"max_body_bytes,omitempty"`
	MaxSequenceAhead int64 `json:"max_sequence_ahead,omitempty"`
	HoldMillis       int64 `json:"hold_millis,omitempty"` // engine holds time out after this
	EndedKeepMillis  int64 `json:"ended_keep_millis,omitempty"`
}

// Signed is a bundle in force or on its way: the exact YAML that was signed.
type Signed struct {
	Source   []byte    `json:"source"`
	SignOffs []SignOff `json:"sign_offs"`
}

// SignOff is one reviewer's ed25519 signature over the canonical digest.
type SignOff struct {
	Reviewer  string `json:"reviewer"`
	Signature []byte `json:"signature"`
}
