package loads

import "github.com/pewtermill/pewtermill/internal/wire/wirepb"

// Direction is whether a message was sent or received.
type Direction string

// Directions.
const (
	Sent     Direction = "sent"
	Received Direction = "received"
)

// Form is how a message represents loads.
type Form string

// Forms.
const (
	Full  Form = "full"  // the full state, in the form that all builds understand
	Delta Form = "delta" // changes, possibly from an empty state
)

// TrafficObserver is notified of messages. It must not block, and must be safe for concurrent use.
type TrafficObserver interface {
	// LoadsTransferred is called for each message between processes; bytes excludes framing.
	LoadsTransferred(direction Direction, form Form, bytes int)
	// LoadsDropped is called for each dropped message of a peer, with the cause.
	LoadsDropped(peer string, cause error)
}

func reportForm(report *wirepb.ReportLoads) Form { return formOf(report.GetDelta()) }

func aggregateForm(response *wirepb.LoadAggregate) Form { return formOf(response.GetDelta()) }

func formOf(delta *wirepb.LoadsDelta) Form {
	if delta != nil {
		return Delta
	}
	return Full
}
