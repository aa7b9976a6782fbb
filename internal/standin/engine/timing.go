package engine

import (
	"math"
	"slices"
	"time"
)

// tokenEpsilon is what of a token counts as nothing, against rounding.
const tokenEpsilon = 1e-6

// advanceTo works off every change that is due up to now.
func (m *Model) advanceTo(now time.Time) {
	for {
		at, due := m.nextChange()
		if !due || at.After(now) {
			break
		}
		m.progress(at)
		m.settle()
	}
	m.progress(now)
}

// nextChange returns when the next prefill, decode or transfer ends.
func (m *Model) nextChange() (time.Time, bool) {
	var next time.Time
	found := false
	consider := func(at time.Time) {
		if !found || at.Before(next) {
			next = at
		}
		found = true
	}
	if head := m.prefillHead(); head != nil {
		consider(m.now.Add(workTime(head.prefillLeft, m.prefillRate())))
	}
	for _, entry := range m.running {
		if entry.decoding {
			consider(m.now.Add(workTime(entry.decodeLeft, m.decodeRate())))
		}
	}
	if len(m.transfers) > 0 {
		consider(m.transfers[0].doneAt)
	}
	return next, found
}

// workTime returns the time for some tokens, rounded up to nanoseconds.
func workTime(tokens, rate float64) time.Duration {
	if tokens <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(tokens / rate * float64(time.Second)))
}

// progress does the work of the time up to now, within which nothing ends.
func (m *Model) progress(now time.Time) {
	elapsed := now.Sub(m.now).Seconds()
	if elapsed < 0 {
		return
	}
	m.now = now
	m.cache.setTime(now)
	if head := m.prefillHead(); head != nil {
		head.prefillLeft = lessWork(head.prefillLeft, elapsed, m.prefillRate())
	}
	for _, entry := range m.running {
		if entry.decoding {
			entry.decodeLeft = lessWork(entry.decodeLeft, elapsed, m.decodeRate())
		}
	}
}

// lessWork returns the tokens that are left after some seconds.
func lessWork(tokens, seconds, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	left := tokens - seconds*rate
	if left < tokenEpsilon {
		return 0
	}
	return left
}

// settle ends whatever has no work left and admits what fits, until nothing
// changes any more.
func (m *Model) settle() {
	for m.finishTransfer() || m.finishPrefill() || m.finishDecode() || m.admitHead() {
	}
}

func (m *Model) finishPrefill() bool {
	head := m.prefillHead()
	if head == nil || head.prefillLeft > 0 {
		return false
	}
	m.cache.store(&head.memory, head.request.Program, head.request.PromptBlocks)
	m.counters.PromptTokens += head.request.PromptTokens
	m.counters.CachedTokens += head.cached
	m.counters.WastedTokens += head.wasted
	head.decoding = true
	// The prefill itself yields the first token.
	head.decodeLeft = float64(max(head.request.AnswerTokens-1, 0))
	if m.options.DecodeRate <= 0 {
		head.decodeLeft = 0
	}
	m.emit(EventFirstToken, head)
	return true
}

func (m *Model) finishDecode() bool {
	position := slices.IndexFunc(m.running, func(s *sequence) bool { return s.decoding && s.decodeLeft <= 0 })
	if position < 0 {
		return false
	}
	entry := m.running[position]
	m.running = slices.Delete(m.running, position, position+1)
	m.cache.store(&entry.memory, entry.request.Program, entry.request.FinalBlocks)
	if !entry.released {
		m.cache.hold(entry.request.Program, entry.memory.blocks)
	}
	m.cache.free(&entry.memory)
	m.counters.AnswerTokens += entry.request.AnswerTokens
	m.counters.Finished++
	m.emit(EventFinished, entry)
	return true
}

// admitHead moves the head of the waiting line into the batch if there is
// room in the batch and in memory.
func (m *Model) admitHead() bool {
	if len(m.waiting) == 0 || len(m.running) >= m.options.MaxRunning {
		return false
	}
	head := m.waiting[0]
	request := head.request
	if !m.cache.allocate(&head.memory, request.Program, request.PromptBlocks, requestBlocks(request)) {
		return false
	}
	m.waiting = slices.Delete(m.waiting, 0, 1)
	m.running = append(m.running, head)
	cachedBlocks := len(head.memory.blocks)
	head.cached = min(int64(cachedBlocks)*BlockTokens, request.PromptTokens)
	missing := request.PromptTokens - head.cached
	head.wasted = min(m.cache.seenBlocks(request.PromptBlocks[cachedBlocks:])*BlockTokens, missing)
	head.prefillLeft = float64(missing)
	if m.options.PrefillRate <= 0 {
		head.prefillLeft = 0
	}
	m.emit(EventStarted, head)
	return true
}

// prefillHead returns the sequence that the prefill rate works for.
func (m *Model) prefillHead() *sequence {
	for _, entry := range m.running {
		if !entry.decoding {
			return entry
		}
	}
	return nil
}

func (m *Model) prefillRate() float64 { return m.options.PrefillRate / m.slowFactor }

func (m *Model) decodeRate() float64 {
	slowdown := 1 + m.options.BatchSlowdown*float64(len(m.running)-1)
	return m.options.DecodeRate / m.slowFactor / slowdown
}
