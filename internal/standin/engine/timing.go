package engine

import (
	"math"
	"slices"
	"time"
)

// tokenEpsilon is the fraction of a token below which remaining work counts as done, against rounding errors.
const tokenEpsilon = 1e-6

// advanceTo applies every change that is due up to now.
func (m *Model) advanceTo(now time.Time) {
	for {
		at, due := m.nextChange()
		if !due || at.After(now) {
			break
		}
		m.progress(at)
		m.applyTransitions()
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

// workTime returns the time for a number of tokens, rounded up to nanoseconds.
func workTime(tokens, rate float64) time.Duration {
	if tokens <= 0 || rate <= 0 {
		return 0
	}
	return time.Duration(math.Ceil(tokens / rate * float64(time.Second)))
}

// progress advances the work to now; no work may end before that.
func (m *Model) progress(now time.Time) {
	elapsed := now.Sub(m.now).Seconds()
	if elapsed < 0 {
		return
	}
	m.now = now
	m.cache.setTime(now)
	if head := m.prefillHead(); head != nil {
		head.prefillLeft = remainingTokens(head.prefillLeft, elapsed, m.prefillRate())
	}
	for _, entry := range m.running {
		if entry.decoding {
			entry.decodeLeft = remainingTokens(entry.decodeLeft, elapsed, m.decodeRate())
		}
	}
}

// remainingTokens returns the tokens that remain after a number of seconds.
func remainingTokens(tokens, seconds, rate float64) float64 {
	if rate <= 0 {
		return 0
	}
	left := tokens - seconds*rate
	if left < tokenEpsilon {
		return 0
	}
	return left
}

// applyTransitions ends all work that is done and admits what fits, until
// nothing changes.
func (m *Model) applyTransitions() {
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

// admitHead moves the head of the queue into the batch if there is room in
// the batch and in memory.
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

// prefillHead returns the sequence that is being prefilled, nil for none.
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
