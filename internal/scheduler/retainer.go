package scheduler

import (
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/bundle"
)

const (
	// maxSharedBlocks bounds the leading blocks that are compared to find what
	// programs share: system prompts and shared notes are at the start of a prompt.
	maxSharedBlocks = 64
	// maxPauseAge is the age from which a paused program is removed: the program
	// has another owner by then, or its hold at the engine has timed out.
	maxPauseAge = 30 * time.Minute
)

// PauseStart describes a program that has received an answer and may resume with another call.
type PauseStart struct {
	Program  string
	Sequence int64 // of the answered call
	Tenant   string
	Class    string
	Epoch    uint64
	Engine   string   // engine that has the program's cache
	Blocks   []uint64 // of the prompt
	Tokens   int64    // of prompt and answer
	Worth    float64  // of the class
}

// RetentionDecision is the decision about one paused program's cache.
type RetentionDecision struct {
	PauseStart
	Retention
}

// Retainer decides about the cache of one node's programs while they pause between model
// calls, and learns how long the pauses last. Times must not go backwards. It is not
// safe for concurrent use.
type Retainer struct {
	settings    bundle.Retention
	pauses      *pauseModel
	paused      map[string]*pausedProgram
	blockCounts map[sharedBlock]int // number of paused programs whose prompt has a block
}

// pausedProgram is a program between two model calls.
type pausedProgram struct {
	PauseStart
	since   time.Time
	tool    string // tool that the program calls during the pause, if known
	dropped bool
}

// sharedBlock is one block in the cache of one engine.
type sharedBlock struct {
	engine string
	block  uint64
}

// NewRetainer returns a Retainer without any learnt pauses.
func NewRetainer() *Retainer {
	return &Retainer{
		pauses:      newPauseModel(),
		paused:      map[string]*pausedProgram{},
		blockCounts: map[sharedBlock]int{},
	}
}

// SetRetention sets the settings of a bundle.
func (r *Retainer) SetRetention(settings bundle.Retention) { r.settings = settings }

// Enabled reports whether decisions are made: without a cost of memory all caches are
// kept. Pauses are learnt in both cases.
func (r *Retainer) Enabled() bool { return r.settings.HoldCost > 0 }

// Pause starts a pause and decides about the program's cache. The view is that of the
// program's engine.
func (r *Retainer) Pause(start PauseStart, view EngineView, now time.Time) RetentionDecision {
	r.remove(start.Program)
	start.Blocks = start.Blocks[:min(len(start.Blocks), maxSharedBlocks)]
	paused := &pausedProgram{PauseStart: start, since: now}
	r.paused[start.Program] = paused
	r.countBlocks(paused, 1)
	return r.decide(paused, &view, now)
}

// CallTool records which tool a paused program calls, and decides again. It returns false
// if the program is not paused or its cache was dropped already.
func (r *Retainer) CallTool(program, tool string, view EngineView, now time.Time) (RetentionDecision, bool) {
	paused := r.paused[program]
	if paused == nil {
		return RetentionDecision{}, false
	}
	paused.tool = tool
	if paused.dropped {
		return RetentionDecision{}, false
	}
	return r.decide(paused, &view, now), true
}

// Engine returns the engine that has a paused program's cache, and false if
// the program is not paused.
func (r *Retainer) Engine(program string) (string, bool) {
	paused := r.paused[program]
	if paused == nil {
		return "", false
	}
	return paused.Engine, true
}

// Resume ends a pause with the program's next model call.
func (r *Retainer) Resume(program string, now time.Time) {
	if paused := r.remove(program); paused != nil {
		r.pauses.recordResume(pauseKind{class: paused.Class, tool: paused.tool}, now.Sub(paused.since))
	}
}

// EndProgram ends a pause with the end of the program.
func (r *Retainer) EndProgram(program string) {
	if paused := r.remove(program); paused != nil {
		r.pauses.recordEnd(paused.Class)
	}
}

// Review decides again about all paused programs: the longer a pause has lasted, the
// longer it is expected to last, and memory may have become scarce. It returns the
// decisions other than Keep, sorted by program.
func (r *Retainer) Review(views []EngineView, now time.Time) []RetentionDecision {
	byName := make(map[string]*EngineView, len(views))
	for i := range views {
		byName[views[i].Name] = &views[i]
	}
	var changed []RetentionDecision
	for program, paused := range r.paused {
		if now.Sub(paused.since) >= maxPauseAge {
			r.remove(program)
			continue
		}
		view := byName[paused.Engine]
		if paused.dropped || view == nil {
			continue
		}
		if decision := r.decide(paused, view, now); decision.Action != Keep {
			changed = append(changed, decision)
		}
	}
	slices.SortFunc(changed, func(a, b RetentionDecision) int {
		if a.Program < b.Program {
			return -1
		}
		return 1
	})
	return changed
}

// decide decides about a program's cache from now on.
func (r *Retainer) decide(paused *pausedProgram, view *EngineView, now time.Time) RetentionDecision {
	kind := pauseKind{class: paused.Class, tool: paused.tool}
	decision := RetentionDecision{PauseStart: paused.PauseStart}
	if !r.Enabled() {
		decision.Action = Keep
		decision.Reason = "keep: the bundle sets no cost of memory"
		return decision
	}
	decision.Retention = DecideRetention(Pause{
		Expected:            r.pauses.remaining(kind, now.Sub(paused.since)),
		ReturnChance:        r.pauses.returnChance(paused.Class),
		CachedTokens:        paused.Tokens,
		SharedTokens:        r.sharedTokens(paused),
		PrefillTokensPerSec: view.PrefillTokensPerSec,
		MemoryPressure:      pressure(view),
		Worth:               paused.Worth,
		HoldCost:            r.settings.HoldCost,
		LowPressure:         r.settings.LowPressure,
	})
	paused.dropped = decision.Action == Drop
	return decision
}

// pressure returns the fraction of an engine's cache memory in use; 0 if it is not reported.
func pressure(view *EngineView) float64 {
	if view.CacheCapacityTokens <= 0 {
		return 0
	}
	return float64(view.CacheUsedTokens) / float64(view.CacheCapacityTokens)
}

// sharedTokens returns how many tokens of a program's cache are kept by other paused
// programs at the engine anyway.
func (r *Retainer) sharedTokens(paused *pausedProgram) int64 {
	shared := int64(0)
	for _, block := range paused.Blocks {
		if r.blockCounts[sharedBlock{paused.Engine, block}] < 2 {
			break
		}
		shared++
	}
	return shared * tokensPerBlock
}

// remove removes a program and returns it; nil if it was not paused.
func (r *Retainer) remove(program string) *pausedProgram {
	paused := r.paused[program]
	if paused == nil {
		return nil
	}
	delete(r.paused, program)
	r.countBlocks(paused, -1)
	return paused
}

func (r *Retainer) countBlocks(paused *pausedProgram, change int) {
	for _, block := range paused.Blocks {
		key := sharedBlock{paused.Engine, block}
		r.blockCounts[key] += change
		if r.blockCounts[key] <= 0 {
			delete(r.blockCounts, key)
		}
	}
}
