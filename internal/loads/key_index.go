package loads

// maxIndexes bounds the indexes of one generation. Each engine may have two: for its calls and for
// the nodes that report it as failing.
const maxIndexes = 2 * maxEngines

// keyIndex assigns dense indexes to keys in the order in which the keys first occur. Deltas refer
// to keys by index. Indexes are valid for one generation; when too many keys have accumulated, a
// new generation starts. Not safe for concurrent use.
type keyIndex struct {
	generation uint32 // starts with 1
	keys       []EngineKey
	indexes    map[EngineKey]int
	limit      int    // number of keys above which a new generation is due
	version    uint64 // the last that nextVersion returned
}

func newKeyIndex() *keyIndex {
	return &keyIndex{generation: 1, indexes: make(map[EngineKey]int), limit: maxIndexes}
}

// indexOf returns the index of a key, which it assigns if necessary.
func (n *keyIndex) indexOf(key EngineKey) int {
	i, found := n.indexes[key]
	if !found {
		i = len(n.keys)
		n.keys = append(n.keys, key)
		n.indexes[key] = i
	}
	return i
}

// isFull reports whether a new generation is due.
func (n *keyIndex) isFull() bool { return len(n.keys) > n.limit }

// startGeneration starts a new generation with the keys that keep selects by their old index.
func (n *keyIndex) startGeneration(keep func(i int) bool) {
	old := n.keys
	n.generation++
	n.keys, n.indexes = nil, make(map[EngineKey]int)
	for i, key := range old {
		if keep(i) {
			n.indexOf(key)
		}
	}
	n.limit = max(maxIndexes, 2*len(n.keys))
}

// nextVersion returns a version that no delta of this index has had.
func (n *keyIndex) nextVersion() uint64 {
	n.version++
	return n.version
}

// keysInDeltas returns how many of the keys are included in deltas.
func (n *keyIndex) keysInDeltas() int { return min(len(n.keys), maxIndexes) }

// callsByIndex returns counts by index, and assigns indexes to new keys.
func (n *keyIndex) callsByIndex(counts Counts) []int32 {
	for key := range counts {
		n.indexOf(key)
	}
	calls := make([]int32, len(n.keys))
	for key, count := range counts {
		calls[n.indexes[key]] = int32(count)
	}
	return calls
}
