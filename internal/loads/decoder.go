package loads

import (
	"slices"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Reasons for dropping a report.
var (
	errMalformed   = errors.New("malformed load report")
	errStale       = errors.New("load delta is older than the current state")
	errUnknownBase = errors.New("load delta is based on a state that this node does not have")
)

// decoder holds the last counts of one peer run. A dropped delta changes nothing; the unchanged
// position then makes the peer send the full state. Not safe for concurrent use.
type decoder struct {
	generation uint32
	version    uint64
	indexed    bool // whether the keys have the indexes of that generation
	keys       []EngineKey
	calls      []int32 // by index
	nodes      int
}

// position returns the position up to which deltas were received.
func (d *decoder) position() position {
	if !d.indexed {
		return position{}
	}
	return position{generation: d.generation, version: d.version, keys: len(d.keys)}
}

// apply applies a delta completely or not at all.
func (d *decoder) apply(delta *wirepb.LoadsDelta) error {
	if err := d.checkOrder(delta); err != nil {
		return err
	}
	keys, err := d.extendKeys(delta)
	if err != nil {
		return err
	}
	calls, err := d.applyChanges(delta, len(keys))
	if err != nil {
		return err
	}
	d.generation, d.version, d.indexed = delta.GetGeneration(), delta.GetVersion(), true
	d.keys, d.calls, d.nodes = keys, calls, int(delta.GetNodes())
	return nil
}

// checkOrder returns an error if a delta cannot follow the current state.
func (d *decoder) checkOrder(delta *wirepb.LoadsDelta) error {
	if delta.GetGeneration() == 0 || delta.GetVersion() <= delta.GetBase() || delta.GetNodes() > maxReporters*maxReporters {
		return errMalformed
	}
	sameGeneration := delta.GetGeneration() == d.generation
	if delta.GetGeneration() < d.generation || (sameGeneration && delta.GetVersion() <= d.version) {
		return errStale
	}
	continues := delta.GetBase() != 0 || delta.GetFirstKey() != 0
	if continues && (!sameGeneration || !d.indexed) {
		return errUnknownBase
	}
	if delta.GetBase() != 0 && delta.GetBase() != d.version {
		return errUnknownBase
	}
	return nil
}

// extendKeys returns the keys after a delta.
func (d *decoder) extendKeys(delta *wirepb.LoadsDelta) ([]EngineKey, error) {
	first := int(delta.GetFirstKey())
	if first+len(delta.GetKeys()) > maxIndexes {
		return nil, errMalformed
	}
	if first > len(d.keys) {
		return nil, errUnknownBase
	}
	keys := slices.Clone(d.keys[:first])
	for _, key := range delta.GetKeys() {
		keys = append(keys, EngineKey(key))
	}
	if delta.GetBase() != 0 && len(keys) < len(d.keys) {
		return nil, errMalformed
	}
	return keys, nil
}

// applyChanges returns the calls after a delta that leaves the given number of keys.
func (d *decoder) applyChanges(delta *wirepb.LoadsDelta, keys int) ([]int32, error) {
	calls := make([]int32, keys)
	if delta.GetBase() != 0 {
		copy(calls, d.calls)
	}
	i := 0
	for packed := delta.GetChanges(); len(packed) > 0; i++ {
		skipped, difference, rest, err := readChange(packed)
		if err != nil {
			return nil, errors.Mark(err, errMalformed)
		}
		i += skipped
		if i >= keys {
			return nil, errMalformed
		}
		after := int(calls[i]) + difference
		if after < 0 || after > maxCalls {
			return nil, errMalformed
		}
		calls[i] = int32(after)
		packed = rest
	}
	return calls, nil
}

// replace stores the counts of a peer that sends no deltas, or does not know yet that it may.
func (d *decoder) replace(counts Counts, nodes int) {
	d.indexed = false
	d.keys, d.calls, d.nodes = nil, nil, nodes
	for key, calls := range counts {
		d.keys = append(d.keys, key)
		d.calls = append(d.calls, int32(calls))
	}
}

// counts returns the peer's last counts.
func (d *decoder) counts() Counts {
	counts := make(Counts, len(d.keys))
	for i, key := range d.keys {
		if d.calls[i] > 0 {
			counts[key] += int(d.calls[i])
		}
	}
	return counts
}
