package ledger

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/conversations"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Retention of a program in memory, after which Sweep also removes its rows.
const (
	// minRetention is the shortest time that a program is kept after its last turn. Its routes may configure a
	// longer one.
	minRetention = 60 * time.Second
	// retentionMargin is added to the retention time, since nodes learn of turns at different times.
	retentionMargin = 60 * time.Second
)

// Options configure a Ledger.
type Options struct {
	Table tablestore.Table
	RunID string // names this run (one process lifetime) of this node; no two runs share an ID
	Now   func() time.Time
	// BatchDelay is how long the table may delay a write to batch it with others; 0 if it sends each write at
	// once.
	BatchDelay time.Duration
	// ExistingRows, if not nil, returns those of the given rows that exist. The keys may be of several parts;
	// the result is a snapshot of one moment, read with one call.
	ExistingRows func(ctx context.Context, keys []string) ([]tablestore.Row, error)
	// Address returns the address at which this node serves its peers. If it is nil or returns an empty string,
	// peers cannot reach the node.
	Address func() string
}

func (o Options) address() string {
	if o.Address == nil {
		return ""
	}
	return o.Address()
}

// Ledger keeps the token accounts and the turns of programs. Safe for concurrent use.
type Ledger struct {
	options    Options
	health     *health
	probes     readProbes
	owners     atomic.Pointer[Owners]     // nil: this node holds all its allowances itself
	witnesses  atomic.Pointer[Witnesses]  // nil: allowances have no witness
	turnSource atomic.Pointer[TurnSource] // nil: turns come from memory or the table only

	inputNames  atomic.Uint64 // number of names of long inputs that this run has given
	pieceWrites chan struct{} // semaphore of the writes of long inputs
	heldInputs  heldInputs

	reportNumber atomic.Uint64 // of the last report to a witness
	lastLookupAt atomic.Int64  // Unix time in ns at which a turn was last looked up in all parts by one call
	draining     atomic.Bool   // the node is stopping, and reserves nothing ahead; see Drain
	finalReturn  atomic.Bool   // the last step of a planned stop has begun; see ReturnAllowances

	mutex   sync.Mutex
	entries map[string]*entry
	// droppedWrite is the highest number of a write of a program that was dropped from entries. If the program is used again, its
	// account may still show that write.
	droppedWrite uint64
}

// entry is the state that this node keeps for one program of one tenant. commit is held across I/O and serialises
// the writes; mutex guards the fields and is never held across I/O.
type entry struct {
	program string        // see ProgramKey
	commit  chan struct{} // semaphore of one

	mutex          sync.Mutex
	usedAt         time.Time
	retention      time.Duration // counted from usedAt
	readAt         time.Time     // when the account was last read or written
	account        Account
	revision       uint64 // of account; 0 if the row is absent
	legacyAccount  legacyAccount
	loaded         bool   // account and revision were read or written in this run
	resolved       bool   // the last row seen shows that an earlier write took effect
	outcomeUnknown bool   // the outcome of a write is unknown, so held may be too high; see minRemaining
	held           int64  // tokens of this run's allowance
	atSlowShare    bool   // the allowance was reserved at slowDivisor
	inFlight       int64  // sum of the max tokens of the turns that are running
	uncharged      int64  // tokens that turns have used and that are not charged to the account yet
	lastWrite      uint64 // number of the latest write attempted
	attempts       map[uint64]attempt
	currentWrite   *inFlightWrite // the write in flight; nil if none is
	pending        []*turnRecord  // turns that wait to be recorded
	turns          map[string]*Turn
	inherited      map[string]*inheritance // by the turn of another program that turns of this one continue from
	corrupt        map[string]error        // decoding errors of turns whose rows were malformed when last read
	recalls        recallState
	reporting      chan struct{} // semaphore of one, held while a report is sent
	reports        reportState
	closed         map[string]Closure // closed allowances of other runs, by run
	throttled      int                // writes in a row that the table throttled; guarded by commit
	contended      bool               // the last write conflicted with one of another run; guarded by commit
}

// attempt is a write whose outcome may not be known yet.
type attempt struct {
	held        int64 // tokens of this run's allowance if the write took effect
	atSlowShare bool  // the allowance is reserved at slowDivisor
	charges     int64 // uncharged tokens that the write charges
	witness     Witness
	records     []*turnRecord
	inherited   []*inheritance // that it stores
}

// inFlightWrite is the effect that the write in flight will have on the allowance.
type inFlightWrite struct {
	write     uint64 // its number
	held      int64  // tokens of the allowance after it
	requested int64  // tokens of held that the requesting turn takes
	charges   int64  // uncharged tokens that it charges; 0 once a row read since then shows that it has charged them
}

// fits reports whether a turn of maxTokens also fits the allowance after the write in flight. The entry's mutex is
// held.
func (f *inFlightWrite) fits(e *entry, maxTokens int64) bool {
	return f == nil || f.held-f.requested-e.inFlight-(e.uncharged-f.charges) >= maxTokens
}

// turnRecord is a turn that waits to be durable.
type turnRecord struct {
	turn    *Turn
	durable bool // guarded by entry.mutex
}

// New returns an empty ledger.
func New(options Options) *Ledger {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Ledger{
		options: options,
		health:  newHealth(options.BatchDelay),
		entries: make(map[string]*entry),

		pieceWrites: make(chan struct{}, maxPieceWrites),
	}
}

// TurnRequest is a request to run a turn.
type TurnRequest struct {
	Program    string        // see ProgramKey
	Session    string        // conversation that the turn belongs to
	Budget     int64         // of the program, in tokens; 0 for none
	MaxTokens  int64         // largest number of tokens that the turn may use
	Previous   string        // turn that it continues from; empty for none
	InputBytes int           // bytes of input to record; 0 if the turn is not recorded
	Turn       string        // ID of the turn to record
	Input      []byte        // to record; if it is set and long, it is stored while the turn runs
	Retention  time.Duration // for how long later turns may continue from this one
	Deadline   time.Time     // when the caller stops waiting; zero if unknown

	// HoldMemory, if not nil, holds bytes of memory for the turns that this one continues from: for their rows as they are read, and
	// once more for the history. It returns false if there are none. Begin does not call it after it has returned.
	HoldMemory func(bytes int64) bool

	// ReturnUnused returns the allowance except for the turns in flight.
	ReturnUnused bool

	deferrable  bool // the write may be sent after writes that callers wait for
	normalShare bool // reserve ahead at aheadDivisor even while the table is slow
	// giveUpAt, if not zero, is when the write is given up, so that its caller can do without it in the time that is
	// left; see Ledger.commitOrRead.
	giveUpAt time.Time
	// onSilence, if not nil, is called if the table answers nothing for so long that the write would be abandoned
	// otherwise.
	onSilence func()
}

// recordedInput returns how many bytes of input the transaction takes that records the turn.
func (r TurnRequest) recordedInput() int {
	if IsLongInput(r.InputBytes) {
		return 0
	}
	return r.InputBytes
}

// untilGivenUp returns a context that ends at giveUpAt, or with ctx.
func (r TurnRequest) untilGivenUp(ctx context.Context) (context.Context, context.CancelFunc) {
	if r.giveUpAt.IsZero() {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, r.giveUpAt)
}

// RunningTurn is a turn that has been admitted. The caller ends it with exactly one of Settle and Abandon.
type RunningTurn struct {
	History []byte // inputs and outputs of the turns that this one continues from, oldest first

	ledger   *Ledger
	entry    *entry
	request  TurnRequest
	grant    Grant // nil if this node's own allowance covers the turn
	location conversations.Location
	long     *longInput // nil if the request has no long input
}

// LastLocation returns where the conversation's last turn was served, according to the node whose allowance covers
// this turn. It is empty if that is this node.
func (r *RunningTurn) LastLocation() conversations.Location {
	if r.grant == nil {
		return conversations.Location{}
	}
	return r.grant.LastLocation()
}

// SetLocation stores where the turn was served, to be reported to the node whose allowance covers it.
func (r *RunningTurn) SetLocation(location conversations.Location) { r.location = location }

// Owner returns the name of the node whose allowance covers the turn; empty for this node.
func (r *RunningTurn) Owner() string {
	if r.grant == nil {
		return ""
	}
	return r.grant.Owner()
}

// Begin admits a turn: it returns the turn's history, with the turn's tokens reserved. Errors:
// RequestTooLarge if the input is too large to be recorded, CallNotFound if the
// previous turn does not exist, BudgetExhausted if the turn does not fit the
// budget, BudgetUnsettled if that cannot be determined because nodes that hold
// allowances of the program do not answer, StoreDown if the history or the account cannot be
// read or written in time. With any of these errors the turn has not run.
func (l *Ledger) Begin(ctx context.Context, request TurnRequest) (*RunningTurn, *api.Error) {
	e := l.entryOf(request.Program)
	e.touch(l.options.Now(), request.Retention)
	if request.InputBytes > MaxInputBytes {
		return nil, api.Errorf(api.RequestTooLarge, "input of a recorded turn is limited to %d bytes, got %d", MaxInputBytes, request.InputBytes)
	}
	running := &RunningTurn{ledger: l, entry: e, request: request, long: newLongInput(request.Turn, request.Input)}
	if request.InputBytes > 0 {
		if err := l.checkRecordable(ctx, e, request.Deadline); err != nil {
			return nil, l.notRunError(e, err)
		}
	}
	if request.Previous != "" {
		chain, err := l.history(ctx, e, request.Previous, request.HoldMemory)
		if err != nil {
			return nil, l.notRunError(e, err)
		}
		running.History = historyOf(chain, request.InputBytes)
		e.inherit(chain)
	}
	if request.Budget <= 0 {
		l.storeInputEarly(ctx, e, running.long, false)
		return running, nil
	}
	grant, err := l.grant(ctx, request)
	if errors.Is(err, ErrNoOwner) {
		err = l.reserve(ctx, e, request)
	}
	if err != nil {
		return nil, l.notRunError(e, err)
	}
	running.grant = grant
	l.storeEarly(ctx, e, request)
	l.storeInputEarly(ctx, e, running.long, true)
	return running, nil
}

// checkRecordable returns an error if the turn could probably not be made durable after it has run: the whole table
// is known to be down, and a read confirms it; or the table throttles writes; or a write takes
// longer than the caller waits. Running the turn all the same would keep an engine busy for
// an answer that cannot be completed.
func (l *Ledger) checkRecordable(ctx context.Context, e *entry, deadline time.Time) error {
	if err := l.health.tooSlow(l.options.Now(), deadline); err != nil {
		return err
	}
	if err := l.health.checkThrottled(partOf(e.program), l.options.Now()); err != nil {
		return err
	}
	if !l.health.down() {
		return nil
	}
	return l.readAccount(ctx, e, partOf(e.program))
}

// Reachable reports whether calls reach the table, according to the latest calls.
func (l *Ledger) Reachable() bool { return l.health.reachable(l.options.Now()) }

// notRunError translates an error into the response for a turn that has not run.
func (l *Ledger) notRunError(e *entry, err error) *api.Error {
	switch {
	case errors.Is(err, ErrBudgetSpent):
		return api.Errorf(api.BudgetExhausted, "the turn does not fit the token budget of program %s: %v", e.program, err)
	case errors.Is(err, ErrBudgetUnsettled):
		return api.Errorf(api.BudgetUnsettled, "program %s: %v", e.program, err).WithRetryAfter(backoff.Jitter(shortRetryAfter))
	case errors.Is(err, ErrNoMemory):
		return api.Errorf(api.RequestMemoryFull, "program %s: %v", e.program, err).WithRetryAfter(backoff.Jitter(shortRetryAfter))
	case errors.Is(err, tablestore.ErrNotFound):
		return api.Errorf(api.CallNotFound, "the previous turn of program %s does not exist: %v", e.program, err)
	}
	return api.Errorf(api.StoreDown, "program %s: %v", e.program, err).WithRetryAfter(l.health.retryAfter(l.options.Now()))
}

// entryOf returns the entry of a program, and creates it if there is none.
func (l *Ledger) entryOf(program string) *entry {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e := l.entries[program]
	if e == nil {
		e = &entry{
			program:   program,
			lastWrite: l.droppedWrite,
			commit:    make(chan struct{}, 1),
			recalls:   recallState{lock: make(chan struct{}, 1)},
			reporting: make(chan struct{}, 1),
			closed:    make(map[string]Closure),
			attempts:  make(map[uint64]attempt),
			turns:     make(map[string]*Turn),
			corrupt:   make(map[string]error),

			inherited: make(map[string]*inheritance),
		}
		l.entries[program] = e
	}
	e.touch(l.options.Now(), minRetention)
	return e
}

// touch marks the program as used now, and extends its retention.
func (e *entry) touch(now time.Time, retention time.Duration) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.usedAt = now
	e.retention = max(e.retention, retention)
}

// reserveLocally reserves the turn's tokens from this node's allowance, with a write of the account if they do not
// fit or the allowance's witness does not confirm them. It does not recall allowances of other runs.
func (l *Ledger) reserveLocally(ctx context.Context, e *entry, request TurnRequest) error {
	if l.reserveUnwritten(ctx, e, request.MaxTokens) {
		return nil
	}
	if err := e.lock(ctx); err != nil {
		return err
	}
	defer e.unlock()
	if l.reserveUnwritten(ctx, e, request.MaxTokens) {
		return nil
	}
	if err := l.write(ctx, e, request); err != nil {
		return err
	}
	return l.ensureCountedAfterWrite(ctx, e, request)
}

// reserveUnwritten reserves tokens for a turn from the allowance as it was written, and reports whether they fit and are counted.
func (l *Ledger) reserveUnwritten(ctx context.Context, e *entry, maxTokens int64) bool {
	if !e.tryReserve(maxTokens) {
		return false
	}
	if l.ensureCounted(ctx, e) {
		return true
	}
	e.release(maxTokens)
	return false
}

// tryReserve reserves the turn's tokens from the allowance if they fit, and reports whether they did.
func (e *entry) tryReserve(maxTokens int64) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if !e.loaded || e.minRemaining() < maxTokens || !e.currentWrite.fits(e, maxTokens) {
		return false
	}
	e.inFlight += maxTokens
	return true
}

// release returns the tokens of a turn that has not begun.
func (e *entry) release(maxTokens int64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.inFlight -= maxTokens
}

// minRemaining returns the tokens that are left of the allowance in the worst case: whichever of the writes with
// an unknown outcome took effect or still will. At most one of them does, since each is conditional on the row
// seen last or on an older one. The mutex is held.
func (e *entry) minRemaining() int64 {
	left := e.held - e.inFlight - e.uncharged
	if !e.outcomeUnknown {
		return left
	}
	for _, unresolved := range e.attempts {
		left = min(left, unresolved.held-e.inFlight-(e.uncharged-unresolved.charges))
	}
	return left
}

// lock acquires the right to write the program's rows. The error is marked ErrUnavailable if ctx ends first.
func (e *entry) lock(ctx context.Context) error {
	select {
	case e.commit <- struct{}{}:
		return nil
	case <-ctx.Done():
		return errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
	}
}

// lockWithin is lock with a time limit.
func (e *entry) lockWithin(ctx context.Context, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	return e.lock(ctx)
}

func (e *entry) unlock() { <-e.commit }

// observe applies the account's row, read or written at some moment, unless a newer one is loaded. The mutex is held.
func (e *entry) observe(runID string, row tablestore.Row) error {
	account, err := decodeAccount(row)
	if err != nil {
		return err
	}
	if e.loaded && row.Revision < e.revision {
		return nil
	}
	if row.Revision > e.revision {
		e.outcomeUnknown = false // a write with an unknown outcome was conditional on the old revision
	}
	e.account, e.revision, e.loaded = account, row.Revision, true
	e.retention = max(e.retention, time.Duration(account.RetentionMillis)*time.Millisecond)
	own := account.Allowances[runID]
	e.held = own.Tokens
	e.confirm(own.Write)
	return nil
}

// confirm records that one of this run's writes took effect. Earlier writes that did not take
// effect by then never will, since the row has changed. The mutex is held.
func (e *entry) confirm(write uint64) {
	if applied, found := e.attempts[write]; found {
		e.uncharged -= applied.charges
		if e.currentWrite != nil && e.currentWrite.write == write {
			// The row was read before the response to the write in flight came. If its charge were subtracted
			// twice, another turn could take the tokens of the turn that requested the write.
			e.currentWrite.charges = 0
		}
		e.atSlowShare = applied.atSlowShare
		for _, rec := range applied.records {
			rec.durable = true
		}
		for _, chain := range applied.inherited {
			chain.markStored()
		}
	}
	for number := range e.attempts {
		if number <= write {
			delete(e.attempts, number)
		}
	}
}
