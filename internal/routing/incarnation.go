package routing

import (
	"strconv"
	"strings"
)

// startSeparator separates an engine's name and its start time in an ID.
const startSeparator = "@"

// Incarnation is one lifetime of an engine process. An engine may restart under the same name;
// the new incarnation has none of the state of the earlier one.
type Incarnation struct {
	// Name is the id that the engine has in the store and on the wire.
	Name string
	// StartUnixMilli is the start time in Unix ms by the engine's own clock; 0 if the engine does not
	// report it. It is compared only with start times of the same name, never with a clock of this node.
	StartUnixMilli int64
}

// ID returns the identity under which all state of an engine is stored. No two
// incarnations have the same one.
func (i Incarnation) ID() string {
	if i.StartUnixMilli == 0 && !strings.Contains(i.Name, startSeparator) {
		return i.Name
	}
	return i.Name + startSeparator + strconv.FormatInt(i.StartUnixMilli, 10)
}

// Precedes reports whether other is a later incarnation of the same engine. One without a
// start time precedes all that have one.
func (i Incarnation) Precedes(other Incarnation) bool {
	return i.Name == other.Name && i.StartUnixMilli < other.StartUnixMilli
}
