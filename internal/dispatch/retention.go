package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/bundle"
	"github.com/pewtermill/pewtermill/internal/explain"
	"github.com/pewtermill/pewtermill/internal/ownership"
	"github.com/pewtermill/pewtermill/internal/scheduler"
)

const (
	// reviewPeriod is the time between two reviews of all paused programs.
	reviewPeriod = 5 * time.Second
	dropTimeout  = 5 * time.Second
)

// retention decides whether engines keep the cache of this node's programs during a pause, the time
// between two model calls, and executes the decisions. Safe for concurrent use.
type retention struct {
	options Options
	fleet   *Fleet

	mutex    sync.Mutex // guards retainer; never held during I/O
	retainer *scheduler.Retainer
}

func newRetention(options Options, fleet *Fleet) *retention {
	return &retention{options: options, fleet: fleet, retainer: scheduler.NewRetainer()}
}

func (r *retention) apply(snapshot *bundle.Snapshot) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retainer.SetRetention(snapshot.Bundle.Retention)
}

// run reviews paused programs until ctx ends.
func (r *retention) run(ctx context.Context) {
	ticker := time.NewTicker(reviewPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.review(ctx)
		}
	}
}

func (r *retention) review(ctx context.Context) {
	views := r.fleet.Views()
	r.mutex.Lock()
	decisions := r.retainer.Review(views, time.Now())
	r.mutex.Unlock()
	for _, decision := range decisions {
		r.execute(ctx, decision)
	}
}

// paused starts the pause after a model call.
func (r *retention) paused(ctx context.Context, work ownership.Work, call scheduler.Call, engine string, result backend.ChatResult) {
	start := scheduler.PauseStart{
		Program:  work.Header.ID,
		Sequence: work.Sequence,
		Tenant:   work.Header.Tenant,
		Class:    work.Header.Class,
		Epoch:    work.Header.Epoch,
		Engine:   engine,
		Blocks:   call.PrefixBlocks,
		Tokens:   result.Usage.PromptTokens + result.Usage.CompletionTokens,
		Worth:    classWorth(r.options.InForce(), work.Header.Class),
	}
	view := r.fleet.cacheView(engine)
	r.mutex.Lock()
	decision := r.retainer.Pause(start, view, time.Now())
	enabled := r.retainer.Enabled()
	r.mutex.Unlock()
	if enabled {
		r.execute(ctx, decision)
	}
}

// toolCalled records the tool that a paused program calls.
func (r *retention) toolCalled(ctx context.Context, work ownership.Work) {
	r.mutex.Lock()
	engine, paused := r.retainer.Engine(work.Header.ID)
	r.mutex.Unlock()
	if !paused {
		return
	}
	view := r.fleet.cacheView(engine)
	r.mutex.Lock()
	decision, decided := r.retainer.CallTool(work.Header.ID, work.Request.Target, view, time.Now())
	r.mutex.Unlock()
	if decided && decision.Action != scheduler.Keep {
		r.execute(ctx, decision)
	}
}

// resumed ends the pause when the program makes its next model call.
func (r *retention) resumed(program string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retainer.Resume(program, time.Now())
}

// programEnded ends the pause when the program ends.
func (r *retention) programEnded(program string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.retainer.EndProgram(program)
}

// execute records a decision and, if the cache is to be dropped, releases it at the engine in the
// background. If that fails, the engine releases it when its hold times out or the program ends.
func (r *retention) execute(ctx context.Context, decision scheduler.RetentionDecision) {
	r.options.Recorder.Record(explain.Decision{
		At:            time.Now(),
		Kind:          explain.Retained,
		Program:       decision.Program,
		Sequence:      decision.Sequence,
		Tenant:        decision.Tenant,
		Epoch:         decision.Epoch,
		Chosen:        decision.Engine,
		Reason:        decision.Reason,
		BundleVersion: r.options.InForce().Version(),
	})
	member, ok := r.fleet.engine(decision.Engine)
	if decision.Action != scheduler.Drop || !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), dropTimeout)
		defer cancel()
		if !r.isPaused(decision.Program) {
			return
		}
		if err := member.client.Release(ctx, decision.Program); err != nil {
			r.options.Logger.Info("cache of a paused program not dropped", "engine", decision.Engine, "program", decision.Program, "error", err.Error())
		}
	}()
}

func (r *retention) isPaused(program string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, paused := r.retainer.Engine(program)
	return paused
}

// cacheView returns the state of one engine that retention decisions use.
func (f *Fleet) cacheView(engine string) scheduler.EngineView {
	view := scheduler.EngineView{Name: engine}
	if member, ok := f.engine(engine); ok {
		load := member.report.Load().Load
		view.CacheUsedTokens = load.CacheUsedTokens
		view.CacheCapacityTokens = load.CacheCapacityTokens
		view.PrefillTokensPerSec = load.PrefillTokensPerSec
	}
	return view
}

// classWorth returns the worth of a class's programs, 1 if the class is unknown.
func classWorth(snapshot *bundle.Snapshot, name string) float64 {
	if snapshot == nil {
		return 1
	}
	if class, ok := snapshot.Class(name); ok {
		return class.Worth
	}
	return 1
}
