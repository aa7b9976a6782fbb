// Package origins stores which software version of a service started a stream, so that any node to which a client resumes
// the stream either continues it at that version or rejects it. The output of engines of two versions does not fit
// together, and engines do not check this.
//
// A node that starts a stream while several versions serve replicates the origin to some peers before the first event is
// sent. The peers are chosen by rendezvous hashing of the stream's ID and spread over zones, so that a node that resumes
// the stream knows which peers to query. While one version serves, and has for as long as clients may come back, nothing is
// replicated: a node that finds neither the stream's origin nor a second version can infer its version. All state is
// in memory, and is dropped once no client can resume the stream any more.
package origins

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Origin identifies where a stream started.
type Origin struct {
	Stream  string // ID of the client's attempt that received its first event
	Service string
	Version string // of the engine's software
	Engine  string // name of the engine
	// EngineStart identifies the engine's start, in Unix milliseconds by its clock; 0 if it is unknown. Peers are not sent it.
	EngineStart int64
	SentAt      time.Time // when the attempt was sent to it
	ExpiresAt   time.Time // until when the client may resume the stream
	Attempt     int       // number of the send within that attempt, from 1; a later one replaces an earlier one
	// NotInferable is set if the stream's version could not be inferred as it was sent, so that only a record of the origin tells it.
	// Peers are not sent it.
	NotInferable bool
}

// sameSend reports whether two origins are of the same send of a stream to an engine.
func (o Origin) sameSend(other Origin) bool {
	return o.Stream == other.Stream && o.Attempt == other.Attempt && o.Engine == other.Engine && o.Version == other.Version && o.SentAt.Equal(other.SentAt)
}

// MinResumeWindow is the least time within which a stream counts as possibly resumed. It is longer than the deadlines of
// clients and the times for which nodes may list different engines.
const MinResumeWindow = 15 * time.Second

// maxRetention limits how long a peer can make a node store an origin.
const maxRetention = 10 * time.Minute

// toMessage converts the origin to the message sent to peers.
func (o Origin) toMessage(now time.Time) *wirepb.StreamOrigin {
	return &wirepb.StreamOrigin{
		Stream:        o.Stream,
		Service:       o.Service,
		Version:       o.Version,
		Engine:        o.Engine,
		SentMillisAgo: now.Sub(o.SentAt).Milliseconds(),
		KeepMillis:    o.ExpiresAt.Sub(now).Milliseconds(),
		Attempt:       uint32(o.Attempt),
	}
}

// originOf converts a peer's message to an origin. It returns false if the stream, service or version is missing.
func originOf(message *wirepb.StreamOrigin, now time.Time) (Origin, bool) {
	origin := Origin{
		Stream:    message.GetStream(),
		Service:   message.GetService(),
		Version:   message.GetVersion(),
		Engine:    message.GetEngine(),
		SentAt:    now.Add(-millis(message.GetSentMillisAgo())),
		ExpiresAt: now.Add(millis(message.GetKeepMillis())),
		Attempt:   int(message.GetAttempt()),
	}
	return origin, origin.Stream != "" && origin.Service != "" && origin.Version != ""
}

// millis converts a duration received from a peer, limited to the range from 0 to maxRetention.
func millis(ms int64) time.Duration {
	return time.Duration(min(max(0, ms), maxRetention.Milliseconds())) * time.Millisecond
}
