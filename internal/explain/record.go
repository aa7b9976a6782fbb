// Package explain keeps and serves decision records: what the system decided
// about a call, which candidates it considered, and why.
package explain

import "time"

// Kind is the kind of a decision.
type Kind string

// Kinds of decision.
const (
	Placed    Kind = "placed"    // a call was assigned to an engine or tool
	Queued    Kind = "queued"    // a call waits
	Refused   Kind = "refused"   // a call or program was rejected
	Finished  Kind = "finished"  // a call's result is recorded
	Claimed   Kind = "claimed"   // a node claimed the ownership of a program
	Released  Kind = "released"  // a program was handed over, or its cache freed
	Retried   Kind = "retried"   // a call is sent to another back end
	Cancelled Kind = "cancelled" // a call was cancelled
	Created   Kind = "created"   // a program was created
	Ended     Kind = "ended"     // a program ended
	Ejected   Kind = "ejected"   // a back end temporarily gets no new work
	Applied   Kind = "applied"   // a bundle was activated
	Retained  Kind = "retained"  // a paused program's cache is kept or dropped
	OrderSent Kind = "ordered"   // an engine was ordered to load or unload, or to change its role
)

// Decision is one record. Fields that do not apply are empty.
type Decision struct {
	ID            uint64        `json:"id"` // increases by one for each decision of a node
	At            time.Time     `json:"at"`
	Node          string        `json:"node"`
	Kind          Kind          `json:"kind"`
	Program       string        `json:"program,omitempty"`
	Tenant        string        `json:"tenant,omitempty"`
	Sequence      int64         `json:"sequence,omitempty"`
	Epoch         uint64        `json:"epoch,omitempty"`
	Code          int           `json:"code,omitempty"`
	Target        string        `json:"target,omitempty"`
	Chosen        string        `json:"chosen,omitempty"`
	Reason        string        `json:"reason"`
	Waited        time.Duration `json:"waited,omitempty"`
	BundleVersion uint64        `json:"bundle_version,omitempty"`
	Candidates    []Candidate   `json:"candidates,omitempty"`
	Omitted       int           `json:"omitted,omitempty"` // candidates left out of Candidates, none better than those in it
}

// Candidate is one back end that was considered. FilteredBy names the rule
// that excluded it; otherwise Scores holds each rule's contribution to Total,
// in estimated milliseconds of delay times the rule's weight; lower is better.
// An engine excluded only because it is full has Scores too: what waiting for
// it would have cost.
type Candidate struct {
	Name       string  `json:"name"`
	FilteredBy string  `json:"filtered_by,omitempty"`
	Scores     []Score `json:"scores,omitempty"`
	Total      float64 `json:"total"`
}

// Score is the contribution of one rule.
type Score struct {
	Rule  string  `json:"rule"`
	Value float64 `json:"value"`
}

// Recorder records decisions. Record is safe for concurrent use and never blocks.
type Recorder interface {
	Record(decision Decision)
}
