// Package poison limits how many engines are lost to one request. Some requests end every engine that runs them. A node
// records which engines ended under which requests, reports that to the other nodes, and sends a request to no further engine once
// MaxEngines have ended under it, over all tries of its client and at all nodes.
//
// An engine that ends has usually run other requests as well, so one end alone proves nothing against any of them. What
// distinguishes a poisonous request is that engines end under it one after another. An answer to a request, by any
// engine, clears it of the ends that were recorded before.
//
// State is in memory, and in rows of the store for nodes that no peer can tell: those that start after all others have ended, and those
// that reach no peer. All of it expires. Nothing is computed, sent or written for a request while no engine has ended.
package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"time"
)

// MaxEngines is how many engines may end under a request before no other one gets it.
const MaxEngines = 3

// Key identifies what a client asks for, over all its tries, of which each has an ID of its own. Requests of different
// tenants have different keys.
type Key [16]byte

// String returns the key in hexadecimal.
func (k Key) String() string { return hex.EncodeToString(k[:]) }

// KeyOf returns the key of a request with these fields and this body.
func KeyOf(body []byte, fields ...string) Key {
	digest := sha256.New()
	var length [8]byte
	write := func(size int) {
		binary.BigEndian.PutUint64(length[:], uint64(size))
		digest.Write(length[:])
	}
	for _, field := range fields {
		write(len(field))
		digest.Write([]byte(field))
	}
	write(len(body))
	digest.Write(body)
	var key Key
	copy(key[:], digest.Sum(nil))
	return key
}

// End is the end of an engine while it ran a request.
type End struct {
	Engine  string    // ID of the engine's incarnation
	Try     string    // ID of the client's try
	SentAt  time.Time // when the request was sent to the engine
	EndedAt time.Time // when the engine last sent anything, or its connection was lost
}

// same reports whether both are the end of the same engine under the same try.
func (e End) same(other End) bool { return e.Engine == other.Engine && e.Try == other.Try }
