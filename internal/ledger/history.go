package ledger

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Limits of reading a chain of turns: a turn and its ancestors.
const (
	maxRangeRows     = 500   // rows of one read
	maxChainTurns    = 1_000 // turns of one chain
	maxParallelReads = 8     // parts that are searched in parallel for a turn
	// lateSearchRead is the time from which the read of a part no longer counts for maxParallelReads. A read usually takes 10 ms.
	lateSearchRead = 40 * time.Millisecond
	// maxUnansweredReads is how many reads in a row may time out before the call fails. A
	// caller whose turn can't be read does better to retry at another node, or to run optimistically.
	maxUnansweredReads = 2
)

// history returns a turn and its ancestors, newest first.
// The error is marked ErrNotFound only if it is certain that a turn of the
// chain does not exist. It is ErrNoMemory if hold refused the memory for the rows that were read, or for the chain.
func (l *Ledger) history(ctx context.Context, e *entry, last string, hold holdMemory) ([]*Turn, error) {
	var chain []*Turn
	read := turnsRead{turns: make(map[string]*Turn), hold: hold}
	for id := last; id != ""; {
		turn, err := l.turn(ctx, e, id, read)
		if err != nil {
			return nil, err
		}
		if len(chain) == maxChainTurns {
			return nil, errors.Newf("conversation of turn %s is longer than %d turns", last, maxChainTurns)
		}
		if err := hold.of(len(turn.Input) + len(turn.Output)); err != nil {
			return nil, errors.Wrapf(err, "conversation of turn %s", last)
		}
		chain = append(chain, turn)
		id = turn.Parent
	}
	return chain, nil
}

// ErrNoMemory reports that there is no memory for a conversation.
var ErrNoMemory = errors.New("no memory for the conversation's turns")

// holdMemory is a TurnRequest's HoldMemory.
type holdMemory func(bytes int64) bool

// of holds memory; ErrNoMemory if there is none.
func (h holdMemory) of(bytes int) error {
	if h != nil && !h(int64(bytes)) {
		return ErrNoMemory
	}
	return nil
}

// rows holds the memory of rows.
func (h holdMemory) rows(rows []tablestore.Row) error {
	bytes := 0
	for _, row := range rows {
		bytes += len(row.Value)
	}
	return h.of(bytes)
}

// turnsRead are the turns that were read for one chain, by ID. Not all of them stay in memory.
type turnsRead struct {
	turns map[string]*Turn
	hold  holdMemory // of the rows that are read
}

// turn returns a turn from memory, from its program's rows, or, if another
// program recorded it or the program's part failed at the time, from whichever part holds it.
func (l *Ledger) turn(ctx context.Context, e *entry, id string, read turnsRead) (*Turn, error) {
	if turn := read.turns[id]; turn != nil {
		return turn, nil
	}
	if turn := l.cachedTurn(ctx, e, id); turn != nil {
		return turn, nil
	}
	part := partOf(e.program)
	if err := l.load(ctx, e, part, e.program, read); errors.Is(err, ErrNoMemory) {
		return nil, err
	} else if err != nil && !l.health.isFailing(part) {
		return nil, err // otherwise the turn may have been recorded in another part, since its own fails
	}
	if turn, err := e.loadedOr(read, id); turn != nil || err != nil {
		return turn, err
	}
	if l.confirmedAbsent(ctx, e.program, id) {
		return nil, errors.Wrapf(tablestore.ErrNotFound, "turn %s is in none of %d parts", id, Parts)
	}
	foundIn, program, err := l.findTurn(ctx, e.program, id)
	if errors.Is(err, tablestore.ErrNotFound) {
		return l.turnWithoutTenant(ctx, e, id, read, err)
	}
	if err != nil {
		return nil, err
	}
	if err := l.load(ctx, e, foundIn, program, read); err != nil {
		return nil, err
	}
	if turn, err := e.loadedOr(read, id); turn != nil || err != nil {
		return turn, err
	}
	// The index row names a turn whose rows are not there: they were removed after the index row was read, or are lost.
	// The next search tells which.
	return nil, errors.Mark(errors.Wrapf(errIndexedTurnMissing, "turn %s of program %s", id, program), tablestore.ErrUnavailable)
}

// errIndexedTurnMissing reports that a turn has an index row, but no rows of its own.
var errIndexedTurnMissing = errors.New("the turn is indexed, but its rows were not found")

// cachedTurn returns a turn from memory or from the turn source; nil if neither has it.
func (l *Ledger) cachedTurn(ctx context.Context, e *entry, id string) *Turn {
	if turn := e.turnInMemory(id); turn != nil {
		return turn
	}
	l.fetch(ctx, e, id)
	return e.turnInMemory(id)
}

func (e *entry) turnInMemory(id string) *Turn {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.turns[id]
}

// loadedTurn returns a turn whose rows may just have been read; nil if there are none. It returns an error
// if there are rows and they are malformed: such a turn must not be taken for one that does not exist.
func (e *entry) loadedTurn(id string) (*Turn, error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if turn := e.turns[id]; turn != nil {
		return turn, nil
	}
	return nil, e.corrupt[id]
}

// loadedOr returns a turn that was read, or is in memory; see loadedTurn.
func (e *entry) loadedOr(read turnsRead, id string) (*Turn, error) {
	if turn := read.turns[id]; turn != nil {
		return turn, nil
	}
	return e.loadedTurn(id)
}

// load reads the rows of a program from one part into the entry and into read: its turns,
// and its account if program and part are the entry's own.
func (l *Ledger) load(ctx context.Context, e *entry, part int, program string, read turnsRead) error {
	rows, accountReadAt, err := l.readProgramHolding(ctx, part, program, read.hold)
	if err != nil {
		return err
	}
	if program == e.program && part == partOf(e.program) {
		e.markRead(accountReadAt)
	}
	turns, err := e.applyTurns(l.options.RunID, accountKey(partOf(e.program), e.program), rows)
	for _, turn := range turns {
		read.turns[turn.ID] = turn
	}
	l.limitInputs(e, turns...)
	return err
}

// readProgram reads all rows of a program in one part, its account first. It fails if the rest of the rows could not be
// read: turns behind the rows that were read must not be taken for turns that do not exist. The account is as of
// accountReadAt, when the first page was read.
func (l *Ledger) readProgram(ctx context.Context, part int, program string) (rows []tablestore.Row, accountReadAt time.Time, err error) {
	return l.readProgramHolding(ctx, part, program, nil)
}

// readProgramHolding is readProgram that holds the memory of each page, and fails with ErrNoMemory if there is none.
func (l *Ledger) readProgramHolding(ctx context.Context, part int, program string, hold holdMemory) (rows []tablestore.Row, accountReadAt time.Time, err error) {
	start, end := accountKey(part, program), programEnd(part, program)
	rows, err = tablestore.ReadPages(start, func(start string) (tablestore.Page, error) {
		page, err := l.readRange(ctx, part, start, end)
		if accountReadAt.IsZero() {
			accountReadAt = l.options.Now()
		}
		if err == nil {
			err = hold.rows(page.Rows)
		}
		return page, err
	})
	return rows, accountReadAt, err
}

// maxReadTime limits a read whose rows keep arriving: 1 MB, the most that one read returns, at 1 Mbit per second.
// Callers mostly disconnect sooner.
const maxReadTime = 8 * time.Second

// readRange reads a page of rows, and retries while the table fails, until the breaker of the part opens.
func (l *Ledger) readRange(ctx context.Context, part int, start, end string) (tablestore.Page, error) {
	for attempts := 0; ; attempts++ {
		if err := l.health.admit(reading, part, l.options.Now()); err != nil {
			return tablestore.Page{}, err
		}
		idleLimit := l.health.currentReadTimeout()
		pending := l.newPendingRead(ctx, part, start, attempts, idleLimit)
		// A long history that keeps arriving is not cancelled: a retry would start over, and get no further.
		callContext, cancel := progress.WithLimits(ctx, progress.Limits{First: idleLimit, Idle: idleLimit, Total: maxReadTime, Late: pending.waitLonger})
		sentAt := time.Now()
		page, err := l.options.Table.Range(callContext, start, end, maxRangeRows)
		unanswered := err != nil && ctx.Err() == nil && callContext.Err() != nil
		if unanswered && l.health.answeredFastSince(pending.began) {
			err = errors.Mark(err, errNoAnswer)
		}
		cancel()
		pending.end()
		if err == nil {
			l.health.recordAnswer(reading, time.Since(sentAt), l.options.Now())
		}
		if !pending.isCounted(err) {
			l.callEnded(ctx, reading, part, err, pending.began)
		}
		if err == nil {
			return page, nil
		}
		isLast := attempts+1 >= maxUnansweredReads || pending.waitedInstead.Load()
		if (unanswered && isLast) || !mayRetry(ctx, err, attempts, l.health.answerTime(reading)) {
			return tablestore.Page{}, err
		}
	}
}

// applyRows stores the turns among the rows, and the account. A malformed turn does not affect the
// other turns of its program.
func (e *entry) applyRows(runID, accountRowKey string, rows []tablestore.Row) error {
	_, err := e.applyTurns(runID, accountRowKey, rows)
	return err
}

// applyTurns is applyRows. It returns the turns among the rows.
func (e *entry) applyTurns(runID, accountRowKey string, rows []tablestore.Row) (read []*Turn, err error) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	inputs := make(longInputs)
	pieces := make(map[string][][]byte)
	inherited := make(map[string][][]byte)
	var program string // of the rows
	for _, row := range rows {
		if row.Key == accountRowKey {
			if err := e.observe(runID, row); err != nil {
				return nil, err
			}
			continue
		}
		if inputs.add(row) {
			continue
		}
		if recordedBy, id, _, ok := pieceOf(row.Key); ok {
			program = recordedBy
			pieces[id] = append(pieces[id], row.Value)
			continue
		}
		if storedBy, id, piece, ok := inheritedPieceOf(row.Key); ok && piece == len(inherited[id]) {
			program = storedBy
			inherited[id] = append(inherited[id], row.Value)
		}
	}
	for id, chainPieces := range inherited {
		read = append(read, e.keepInherited(program, id, chainPieces)...)
	}
	for id, turnPieces := range pieces {
		turn, err := decodeWithInputs(id, turnPieces, inputs)
		if err != nil {
			e.corrupt[id] = errors.Wrapf(err, "turn %s", id)
			continue
		}
		turn.Program = program
		e.keepTurn(turn)
		read = append(read, turn)
	}
	return read, nil
}

// confirmedAbsent reports whether it is certain that no part has a turn, neither under the tenant of the
// requesting program nor as recorded by a build without tenants. It checks all parts with one call; if the call
// fails, or some part has the turn, the caller has to read each part.
func (l *Ledger) confirmedAbsent(ctx context.Context, requester, id string) bool {
	if l.options.ExistingRows == nil || l.health.slow() || !l.tryStartLookup() {
		return false // the call counts as a write of each part, and a slow table takes few writes per part
	}
	tenant, program := splitProgram(requester)
	keys := make([]string, 0, 2*Parts)
	for part := range Parts {
		if l.health.holdsBack(writing, part) {
			return false // the call counts as a write of this part too
		}
		keys = append(keys, indexKey(part, requester, id))
		if tenant != "" {
			keys = append(keys, indexKey(part, program, id))
		}
	}
	ctx, cancel := context.WithTimeout(ctx, l.health.currentCallTimeout())
	defer cancel()
	rows, err := l.options.ExistingRows(ctx, keys)
	return err == nil && len(rows) == 0
}

// lookupInterval is the shortest time between two single-call look-ups of a node. Each counts as a write of every part,
// and a part takes 300 writes a second from all nodes together; further turns that were never recorded
// are searched for by reads.
const lookupInterval = time.Second

// tryStartLookup reports whether a single-call look-up is due, and if so records that one starts now.
func (l *Ledger) tryStartLookup() bool {
	now := l.options.Now().UnixNano()
	last := l.lastLookupAt.Load()
	return now-last >= int64(lookupInterval) && l.lastLookupAt.CompareAndSwap(last, now)
}

// findTurn searches every part for the program that recorded a turn, among those of the tenant
// of the requesting program. The error is marked ErrNotFound if every part answered and none has
// the turn. Failing parts, which may not answer, do not prevent or delay the search of the others, and once one part has the
// turn, the remaining reads are cancelled.
func (l *Ledger) findTurn(ctx context.Context, requester, id string) (part int, program string, err error) {
	programs := make([]string, Parts)
	ctx, cancelOthers := context.WithCancel(ctx)
	defer cancelOthers()
	var group errgroup.Group
	slots := make(chan struct{}, maxParallelReads)
	for part := range Parts {
		release := acquire(ctx, slots)
		group.Go(func() error {
			defer release()
			key := indexKey(part, requester, id)
			page, err := l.readRange(ctx, part, key, key+"\x00")
			if err != nil || len(page.Rows) == 0 {
				return err
			}
			if programs[part], err = programOfIndex(requester, page.Rows[0].Value); err == nil {
				cancelOthers()
			}
			return err
		})
	}
	err = group.Wait()
	for part, program := range programs {
		if program != "" {
			return part, program, nil
		}
	}
	if err != nil {
		return 0, "", err
	}
	return 0, "", errors.Wrapf(tablestore.ErrNotFound, "turn %s is in none of %d parts", id, Parts)
}

// acquire waits for a slot until ctx ends. The slot is released by release, or after lateSearchRead.
func acquire(ctx context.Context, slots chan struct{}) (release func()) {
	select {
	case slots <- struct{}{}:
	case <-ctx.Done():
		return func() {} // a read ends at once
	}
	free := sync.OnceFunc(func() { <-slots })
	late := time.AfterFunc(lateSearchRead, free)
	return func() {
		late.Stop()
		free()
	}
}

// errIndexCorrupt reports that the row that names the program of a turn is malformed.
var errIndexCorrupt = errors.New("malformed index row of a turn")

// programOfIndex returns the program that an index row names. A row that names none, or another
// tenant's program, is an error, and does not show that the turn does not exist.
func programOfIndex(requester string, value []byte) (string, error) {
	tenant, _ := splitProgram(requester)
	rowTenant, id := splitProgram(string(value))
	if rowTenant != tenant || !ValidID(id) {
		return "", errIndexCorrupt
	}
	return string(value), nil
}
