package scheduler

import (
	"encoding/binary"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"
)

// recentPrefix is the prompt of a call that was just assigned to an engine.
type recentPrefix struct {
	at     time.Time
	blocks []uint64
}

// rememberPrefix records that the engine is about to cache a prompt. Cache
// events come late: without this record, calls that share a long prefix and
// arrive together would be spread over engines that each prefill it.
func (e *engine) rememberPrefix(blocks []uint64, now time.Time) {
	if len(blocks) == 0 {
		return
	}
	expired := 0
	for expired < len(e.recent) && now.Sub(e.recent[expired].at) > recentPrefixAge {
		expired++
	}
	if expired == 0 && len(e.recent) >= maxRecentPrefixes {
		expired = 1
	}
	e.recent = slices.Delete(e.recent, 0, expired)
	e.recent = append(e.recent, recentPrefix{at: now, blocks: blocks})
}

// missingTokens returns how many prompt tokens the engine has not cached, estimated from
// the index, the recently assigned calls and sharedChance.
func missingTokens(r *request, e *engine) int64 {
	blocks := r.call.PrefixBlocks
	cached := 0
	if r.index != nil && len(blocks) > 0 {
		cached = r.index.CachedBlocks(e.view.Name, blocks)
	}
	for i := range e.recent {
		common := commonBlocks(blocks, e.recent[i].blocks)
		if common > cached && r.now.Sub(e.recent[i].at) <= recentPrefixAge {
			cached = common
		}
	}
	missing := max(0, r.call.PromptTokens-int64(cached)*tokensPerBlock)
	if cached < sharedBlocks {
		missing -= int64(float64(missing) * sharedChance(r, e))
	}
	return missing
}

// sharedChance estimates the chance that calls of other nodes have left the
// shared prefix of a new program in an engine's cache. A node has information about such
// prefixes only for the engines that it observes itself. Without any communication,
// all nodes prefer the same engines for a prefix in the same order, which is that
// of a hash of the prefix and the engine (rendezvous hashing). The chance halves
// with each position in that order; the position is estimated from the hash alone.
func sharedChance(r *request, e *engine) float64 {
	if r.call.LastEngine != "" || len(r.call.PrefixBlocks) < sharedBlocks {
		return 0
	}
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], r.call.PrefixBlocks[sharedBlocks-1])
	binary.LittleEndian.PutUint64(pair[8:], e.nameHash)
	position := float64(xxhash.Sum64(pair[:])) / math.MaxUint64 * float64(r.engineCount)
	return firstEngineChance * math.Exp2(-position)
}

// commonBlocks returns the length of the common prefix of two chains of
// block hashes. In such chains, blocks that are equal at one position are equal at
// every earlier position.
func commonBlocks(a, b []uint64) int {
	shorter := min(len(a), len(b))
	if shorter == 0 || a[0] != b[0] {
		return 0
	}
	return sort.Search(shorter, func(i int) bool { return a[i] != b[i] })
}
