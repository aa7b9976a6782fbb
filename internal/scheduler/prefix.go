package scheduler

import (
	"slices"
	"sort"
	"time"
)

// recentPrefix is the prompt of a call that was just assigned to an engine.
type recentPrefix struct {
	at     time.Time
	blocks []uint64
}

// rememberPrefix notes that the engine is about to cache a prompt. Cache
// events come late; without this note, calls that share a long prefix and
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

// missingTokens returns how many prompt tokens the engine has not cached, as
// far as the index and the recently assigned calls tell.
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
	return max(0, r.call.PromptTokens-int64(cached)*tokensPerBlock)
}

// commonBlocks returns the length of the common prefix of two chains of
// block hashes. In chains, blocks that are equal at one place are equal at
// every place before it.
func commonBlocks(a, b []uint64) int {
	shorter := min(len(a), len(b))
	if shorter == 0 || a[0] != b[0] {
		return 0
	}
	return sort.Search(shorter, func(i int) bool { return a[i] != b[i] })
}
