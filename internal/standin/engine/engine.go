package engine

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/standin"
)

// Defaults of Options.
const (
	DefaultAnswerTokens  = 32
	DefaultMaxWaiting    = 1024
	DefaultChunkInterval = 20 * time.Millisecond
)

// Options sets up an Engine. Rates are in tokens per second; zero means that
// the work takes no time, so that answers are immediate.
type Options struct {
	Name          string
	Zone          string
	Models        []string
	MaxModels     int    // models that fit at the same time; 0 means no limit
	Role          string // prefill, decode or both; empty means both
	MaxRunning    int
	MaxWaiting    int // requests that may wait; further ones are refused
	CacheTokens   int64
	PrefillRate   float64
	DecodeRate    float64
	BatchSlowdown float64
	HoldTTL       time.Duration
	AnswerTokens  int64         // typical length of an answer
	ChunkInterval time.Duration // between the chunks of a stream
	LoadLag       time.Duration // maximum age of a load report
	EventDelay    time.Duration // after which a cache event is published
	LoadTime      time.Duration // of a model or adapter
}

// Engine is the HTTP stand-in. It is safe for concurrent use.
type Engine struct {
	options Options
	done    chan struct{}
	wake    chan struct{} // signals the driver that the model has changed
	mutex   sync.Mutex
	// The mutex guards all fields below.
	model          *Model
	streams        *streamTable
	fences         *fenceTable
	orders         *orderState
	faults         Faults
	log            []LogEntry
	load           backend.Load
	loadReportedAt time.Time
}

// LogEntry is one execution, from when it left the queue. A request that was
// refused, or cancelled while it waited, has none.
type LogEntry struct {
	RequestID    string    `json:"request_id"`
	Program      string    `json:"program"`
	Epoch        uint64    `json:"epoch"`
	Model        string    `json:"model"`
	Priority     int       `json:"priority"`
	Started      time.Time `json:"started"`
	Finished     time.Time `json:"finished,omitzero"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"`
	WastedTokens int64     `json:"wasted_tokens"`
	Tokens       int64     `json:"tokens"`
	Cancelled    bool      `json:"cancelled"`
}

// New returns a running engine; Close stops it.
func New(options Options) *Engine {
	if options.AnswerTokens <= 0 {
		options.AnswerTokens = DefaultAnswerTokens
	}
	if options.MaxWaiting <= 0 {
		options.MaxWaiting = DefaultMaxWaiting
	}
	if options.ChunkInterval <= 0 {
		options.ChunkInterval = DefaultChunkInterval
	}
	if options.Role == "" {
		options.Role = "both"
	}
	now := time.Now()
	engine := &Engine{
		options: options,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		model:   NewModel(modelOptions(options, now), now),
		streams: newStreamTable(),
		fences:  newFenceTable(),
		orders:  newOrderState(options, now),
	}
	go engine.drive()
	return engine
}

// modelOptions numbers cache events from the start time, so that readers
// cannot confuse them with those of an earlier incarnation of the engine.
func modelOptions(options Options, now time.Time) ModelOptions {
	return ModelOptions{
		MaxRunning:    options.MaxRunning,
		CacheTokens:   options.CacheTokens,
		PrefillRate:   options.PrefillRate,
		DecodeRate:    options.DecodeRate,
		BatchSlowdown: options.BatchSlowdown,
		HoldTTL:       options.HoldTTL,
		FirstSequence: uint64(now.UnixMicro()),
	}
}

// Close stops the engine. Streams in flight are cut and cannot be resumed.
func (e *Engine) Close() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	select {
	case <-e.done:
	default:
		close(e.done)
	}
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveChat)
	mux.HandleFunc("GET /v1/streams/{id}", e.serveResume)
	mux.HandleFunc("DELETE /v1/streams/{id}", e.serveCancel)
	mux.HandleFunc("GET /holds", e.serveHolds)
	mux.HandleFunc("DELETE /holds/{program}", e.serveRelease)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /cache/events", e.serveCacheEvents)
	mux.HandleFunc("POST /orders", e.serveOrder)
	mux.HandleFunc("POST /faults", standin.FaultsHandler(e.SetFaults))
	mux.HandleFunc("GET /log", e.serveLog)
	return mux
}

// Log returns all executions so far, in the order of their start.
func (e *Engine) Log() []LogEntry {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.step()
	return slices.Clone(e.log)
}

// Holds returns the programs for which the engine holds cache, sorted.
func (e *Engine) Holds() []string {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.model.Holds(time.Now())
}

// Counters returns the model's current counters.
func (e *Engine) Counters() Counters {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.step()
	return e.model.Counters()
}

// drive advances the model in real time until Close.
func (e *Engine) drive() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-e.done:
			return
		case <-e.wake:
		case <-timer.C:
		}
		e.mutex.Lock()
		e.step()
		due, pending := e.nextStep()
		e.mutex.Unlock()
		if pending {
			timer.Reset(time.Until(due))
		}
	}
}

// nextStep returns when the model or a stream next changes.
func (e *Engine) nextStep() (time.Time, bool) {
	due, pending := e.model.NextEvent()
	if !pending {
		return due, false
	}
	if chunk := time.Now().Add(e.options.ChunkInterval); chunk.Before(due) {
		due = chunk
	}
	return due, true
}

// step advances the model, the streams and the log to now. The caller holds
// the mutex, and wakes the driver if it has submitted work to the model.
func (e *Engine) step() {
	for _, event := range e.model.Advance(time.Now()) {
		e.handleEvent(event)
	}
	e.streams.publishDecoded(e.model.Decoded)
}

func (e *Engine) handleEvent(event Event) {
	stream := e.streams.get(event.Request)
	if stream == nil {
		return
	}
	switch event.Kind {
	case EventStarted:
		stream.logIndex = len(e.log)
		e.log = append(e.log, stream.startEntry(event))
	case EventFinished, EventCancelled:
		if stream.logIndex >= 0 {
			e.log[stream.logIndex].finish(event)
		}
		e.streams.end(stream, event)
	}
}

func (l *LogEntry) finish(event Event) {
	l.Finished = event.At
	l.Tokens = event.AnswerTokens
	l.Cancelled = event.Kind == EventCancelled
}

// wakeDriver signals the driver that the model has changed.
func (e *Engine) wakeDriver() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// reportedLoad returns the load; the report may be up to LoadLag old.
func (e *Engine) reportedLoad() backend.Load {
	now := time.Now()
	if !e.loadReportedAt.IsZero() && now.Sub(e.loadReportedAt) < e.options.LoadLag {
		return e.load
	}
	e.step()
	load := e.model.Load(now)
	load.Engine = e.options.Name
	load.Models = ready(e.orders.models, now)
	load.Adapters = ready(e.orders.adapters, now)
	load.ModelStates = states(e.orders.models, now)
	load.AdapterStates = states(e.orders.adapters, now)
	load.MaxModels = e.orders.maxModels
	load.Fence = e.orders.fence
	load.Role = e.orders.role
	load.Leaving = e.faults.Leaving
	e.load = load
	e.loadReportedAt = now
	return load
}

// publishedEvents returns cache events as a reader gets them: delayed by
// EventDelay, and without those that the faults drop.
func (e *Engine) publishedEvents(after uint64) backend.CacheEvents {
	now := time.Now()
	e.step()
	page := e.model.CacheEvents(after, now.Add(-e.options.EventDelay))
	page.Events = slices.DeleteFunc(page.Events, func(event backend.CacheEvent) bool {
		random := rand.New(rand.NewPCG(e.faults.Seed, event.Sequence))
		return random.Float64() < e.faults.DropEventsShare
	})
	return page
}
