// Package carry sends requests to engines through peers that keep connections to them.
//
// A node of a large fleet sends to an engine too seldom to find an idle connection. So each
// engine has one or two carriers: nodes of its zone, chosen by rendezvous hashing among those
// that other nodes have links to anyway. A node without a connection of its own forwards the
// request to a carrier over such a link. The choice of carriers is a hint: nodes may disagree on
// it, and a carrier that declines a request costs one round trip.
//
// Each Send sends the request to the engine at most once. Every error of Send is marked ErrNotRun or
// ErrLost, or is an error of package upstream; these show whether the request may have run.
package carry

// MaxBodyBytes is the largest body that is carried. Larger ones would fill the memory of
// carriers, and for them the cost of a direct connection is small in comparison.
const MaxBodyBytes = 64 << 10

// DefaultMinNodes is the number of nodes of a region from which requests are carried. It is twice the
// number of carriers: below that, a node keeps connections to most engines itself. With 58 nodes,
// carrying reduces connections by three quarters and does not raise worth; with 295 it raises worth by 0.05.
const DefaultMinNodes = 2 * MaxCarriers

// maxInFlight is how many requests of one node one peer carries at once. A node of a large
// fleet has a few in all; more come only in a burst, which should not load one carrier.
const maxInFlight = 16

// Reason is why a request takes its route. It is written to logs.
type Reason string

// Reasons.
const (
	Carried             Reason = "carried"     // through the peer of the decision
	Disabled            Reason = "off"         // requests are not carried at all, or not in such a small region
	IdleConnection      Reason = "at_rest"     // this node has an idle connection to the engine
	SelfIsCarrier       Reason = "own_part"    // this node is the engine's carrier
	NoCarrier           Reason = "no_carrier"  // no peer is a carrier of the engine
	CarriersUnavailable Reason = "passed_over" // each carrier is suspected, slow or full
	LargeBody           Reason = "large_body"
	Immediate           Reason = "paced"    // the request must leave at once, since its engine is cold
	Declined            Reason = "declined" // the carrier did not send it
)

// Candidate is a carrier of an engine, in the view of this node.
type Candidate struct {
	Address     string
	Unavailable bool // it recently did not answer, answered late or declined, or its zone is unresponsive
	InFlight    int  // requests of this node that it carries now
}

// ChoiceInput is the input of Choose.
type ChoiceInput struct {
	Enabled         bool
	Self            string // this node's own address among peers
	BodyBytes       int
	Immediate       bool        // the request must leave at once
	IdleConnections int         // idle connections of this node to the engine
	Carriers        []Candidate // of the engine, the best first
}

// Decision is the route of a request.
type Decision struct {
	Peer   string // the carrier; empty if this node sends the request directly
	Reason Reason
}

// Choose decides on a request's route. The result depends on the argument only.
func Choose(s ChoiceInput) Decision {
	switch {
	case !s.Enabled:
		return Decision{Reason: Disabled}
	case s.IdleConnections > 0:
		return Decision{Reason: IdleConnection}
	case s.Immediate:
		return Decision{Reason: Immediate}
	case s.BodyBytes > MaxBodyBytes:
		return Decision{Reason: LargeBody}
	case len(s.Carriers) == 0:
		return Decision{Reason: NoCarrier}
	}
	for _, candidate := range s.Carriers {
		if candidate.Address == s.Self {
			return Decision{Reason: SelfIsCarrier}
		}
		if !candidate.Unavailable && candidate.InFlight < maxInFlight {
			return Decision{Peer: candidate.Address, Reason: Carried}
		}
	}
	return Decision{Reason: CarriersUnavailable}
}
