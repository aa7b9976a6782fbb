// Package originrecord keeps in the store which software version of a service began the streams that clients may resume, while
// several versions serve. After all nodes have ended at once, a node that starts continues such a stream at its version.
//
// Each process has one row, of the streams that it began and whose first event it was about to send. It writes the row
// asynchronously and at intervals, so the newest streams may be absent. A row proves the origin of the streams that it names; that
// a stream is in no row proves nothing. While one version serves, no call is made.
package originrecord

import (
	"crypto/sha256"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/origins"
)

// Limits of a row.
const (
	// maxRowBytes is the maximum size of a row's value. The store accepts 64 KiB.
	maxRowBytes = 60_000
	// bytesPerStream is the size of a stream's hash in base64.
	bytesPerStream = (hashBytes*4 + 2) / 3
	// startOverhead is the maximum size of a start without its names and streams.
	startOverhead = 100
	// escapedBytes is the maximum size of one byte of a name in JSON.
	escapedBytes = 6
	// maxFleetStreams is how many streams the rows of all processes name together, unless minRowStreams for each are more.
	maxFleetStreams = 120_000
	minRowStreams   = 50
)

// hashBytes is the size of a stream's hash. Two streams do not share one in practice, even if clients choose their IDs.
const hashBytes = 16

// streamHash identifies a stream.
type streamHash [hashBytes]byte

// hashOf returns the hash of a stream's ID.
func hashOf(stream string) streamHash {
	sum := sha256.Sum256([]byte(stream))
	return streamHash(sum[:hashBytes])
}

// row is the content of a row.
type row struct {
	// KeepMillis is how long after the row was written a client may resume one of its streams.
	KeepMillis int64    `json:"k"`
	Starts     []*start `json:"s"`
}

// start is one start of an engine, with the streams that it began.
type start struct {
	startKey
	Streams []byte `json:"h"` // their hashes
}

// startKey identifies a start of an engine.
type startKey struct {
	Service        string `json:"n"`
	Version        string `json:"v"`
	Engine         string `json:"e"`
	StartUnixMilli int64  `json:"b,omitempty"` // 0 if the engine does not state when it started
}

// size returns the maximum size of a start without streams.
func (s startKey) size() int {
	return startOverhead + escapedBytes*(len(s.Service)+len(s.Version)+len(s.Engine))
}

// newest returns as many of some origins, which are in the order of newest first, as the row of one of some processes may name.
func newest(newestFirst []origins.Origin, processes int) []origins.Origin {
	limit := max(minRowStreams, maxFleetStreams/max(1, processes))
	return newestFirst[:min(limit, len(newestFirst))]
}

// newRow returns a row with the newest of some origins, which are in the order of newest first, and the starts that began its streams.
func newRow(newestFirst []origins.Origin, now time.Time) (content row, streams map[string]startKey) {
	starts := make(map[startKey]*start)
	streams = make(map[string]startKey)
	size := startOverhead
	for _, origin := range newestFirst {
		key := startKey{origin.Service, origin.Version, origin.Engine, origin.EngineStart}
		next := size + bytesPerStream
		if starts[key] == nil {
			next += key.size()
		}
		if next > maxRowBytes {
			break
		}
		size = next
		if starts[key] == nil {
			starts[key] = &start{startKey: key}
			content.Starts = append(content.Starts, starts[key])
		}
		hash := hashOf(origin.Stream)
		starts[key].Streams = append(starts[key].Streams, hash[:]...)
		streams[origin.Stream] = key
		content.KeepMillis = max(content.KeepMillis, origin.ExpiresAt.Sub(now).Milliseconds())
	}
	return content, streams
}

// decodeRow decodes the value of a row.
func decodeRow(value []byte) (row, error) {
	var content row
	if err := json.Unmarshal(value, &content); err != nil {
		return row{}, errors.Wrap(err, "decode the origins of streams")
	}
	for _, start := range content.Starts {
		if start == nil || start.Service == "" || start.Version == "" || len(start.Streams)%hashBytes != 0 {
			return row{}, errors.New("an origin of streams names no service or version, or has a part of a hash")
		}
	}
	return content, nil
}

// keep returns how long after the row was written a client may resume one of its streams.
func (r row) keep() time.Duration {
	return time.Duration(min(max(0, r.KeepMillis), maxKeep.Milliseconds())) * time.Millisecond
}
