package ledger

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// A turn is kept with its chain, and the rows of each program are removed on their own, whatever other programs
// continue from its turns. So a program that continues from a turn of another one stores that turn and its ancestors, the
// chain that it inherits, under its own key too: in the transaction that records the continuing turn or, if they are too
// large for it, before. A program's rows then hold the whole chains of its turns.

// Limits of storing inherited turns.
const (
	// maxBatchRows is how many rows a transaction with records writes, beside the account. The table accepts 100
	// entries, conditions included.
	maxBatchRows = 90
	// maxInheritedPieces is how many pieces of inherited turns one transaction writes: 1 MB in the table's encoding,
	// less a margin for keys.
	maxInheritedPieces = MaxTurnBytes / pieceBytes
	// maxBesideRecord is the size up to which the input of a turn and the turns that it inherits are left to the
	// transaction that records it. The rest is for the turn's output.
	maxBesideRecord = MaxTurnBytes / 2
	// earlyTimeout limits the writes of inherited turns while the continuing turn runs; its record repeats them.
	earlyTimeout = 10 * time.Second
	// inheritedOverhead is the encoding overhead of one inherited turn: the lengths of its fields.
	inheritedOverhead = inheritedFields * binary.MaxVarintLen64
	inheritedFields   = 4
)

// inheritance is a turn of another program, and its ancestors, that turns of this program continue from. The entry's
// mutex guards its fields.
type inheritance struct {
	turn   string  // the newest one
	chain  []*Turn // newest first; nil once stored
	size   int     // upper bound of the encoded chain in bytes
	stored bool    // the rows are in the program's part
	// early is closed when the write that was started with a turn has ended; nil if none was started.
	early chan struct{}
}

// fitsBeside reports whether the transaction that records a turn can store the chain too.
func (i *inheritance) fitsBeside(turn *Turn) bool {
	return i.size+turn.recordedBytes() <= MaxTurnBytes
}

func (i *inheritance) markStored() { i.stored, i.chain = true, nil }

// encode returns the chain in pieces, one for each row. The same chain has the same pieces, whichever node encodes it.
func (i *inheritance) encode() [][]byte {
	content := make([]byte, 0, i.size)
	for _, turn := range i.chain {
		for _, field := range [inheritedFields][]byte{[]byte(turn.ID), []byte(turn.Parent), turn.Input, turn.Output} {
			content = binary.AppendUvarint(content, uint64(len(field)))
			content = append(content, field...)
		}
	}
	return splitContent(content)
}

// writes returns the rows of the chain.
func (i *inheritance) writes(part int, program string) []tablestore.Write {
	pieces := i.encode()
	writes := make([]tablestore.Write, len(pieces))
	for number, piece := range pieces {
		writes[number] = tablestore.Write{Key: inheritedKey(part, program, i.turn, number), Value: piece}
	}
	return writes
}

// decodeInherited decodes a chain from its pieces. It returns no turns if pieces are missing: they are written by
// several transactions, and no turn that continues from the chain is recorded before the last one.
func decodeInherited(pieces [][]byte) ([]*Turn, error) {
	content := bytes.Join(pieces, nil)
	count, used := binary.Uvarint(content)
	if used <= 0 {
		return nil, errTurnCorrupt
	}
	if count != uint64(len(pieces)) {
		return nil, nil
	}
	var chain []*Turn
	for content = content[used:]; len(content) > 0; {
		fields, rest, ok := cutFields(content, inheritedFields)
		if !ok {
			return nil, errTurnCorrupt
		}
		chain = append(chain, &Turn{ID: string(fields[0]), Parent: string(fields[1]), Input: fields[2], Output: fields[3]})
		content = rest
	}
	return chain, nil
}

// inherit notes that a turn of the program continues from a chain, newest turn first, unless the program's rows hold it.
func (e *entry) inherit(chain []*Turn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	parent := chain[0]
	if e.stores(parent) || e.inherited[parent.ID] != nil {
		return
	}
	size := binary.MaxVarintLen64 // number of pieces
	for _, turn := range chain {
		size += inheritedOverhead + len(turn.ID) + len(turn.Parent) + len(turn.Input) + len(turn.Output)
	}
	e.inherited[parent.ID] = &inheritance{turn: parent.ID, chain: chain, size: size}
}

// stores reports whether a turn is stored under the program's key, and with it its chain. A turn from a peer that does
// not name its program counts as stored.
func (e *entry) stores(turn *Turn) bool {
	_, withoutTenant := splitProgram(e.program)
	return turn.Program == "" || turn.Program == e.program || turn.Program == withoutTenant
}

// keepTurn keeps a recorded turn in memory, unless it is known from the program's own rows. The mutex is held.
func (e *entry) keepTurn(turn *Turn) {
	delete(e.corrupt, turn.ID)
	known := e.turns[turn.ID]
	if known != nil && (known.Program == e.program || turn.Program == "") {
		return
	}
	e.turns[turn.ID] = turn
}

// keepInherited keeps the turns that a program has inherited in memory, with those that it recorded. A malformed chain
// must not be taken for turns that do not exist. It returns them. The mutex is held.
func (e *entry) keepInherited(program, newest string, pieces [][]byte) []*Turn {
	chain, err := decodeInherited(pieces)
	if err != nil {
		e.corrupt[newest] = errors.Wrapf(err, "turns of another program up to %s", newest)
		return nil
	}
	for _, turn := range chain {
		turn.Program = program
		e.keepTurn(turn)
	}
	return chain
}

// missingChain returns what a turn inherits; nil if it inherits nothing that is not stored yet. The mutex is held.
func (e *entry) missingChain(turn *Turn) *inheritance {
	chain := e.inherited[turn.Parent]
	if chain == nil || chain.stored {
		return nil
	}
	return chain
}

// recordOf returns what records a turn in a part: its rows, with those of the chain that it inherits, if they fit. ok is false
// if its input is not stored.
func (e *entry) recordOf(part int, turn *Turn) (batch recordBatch, ok bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	batch.writes, batch.conditions, ok = rowsOf(part, e.program, turn)
	chain := e.missingChain(turn)
	if chain != nil && chain.fitsBeside(turn) {
		batch.writes = append(batch.writes, chain.writes(part, e.program)...)
		batch.inherited = append(batch.inherited, chain)
	}
	return batch, ok
}

// markStored records that the program's part has the rows of chains.
func (e *entry) markStored(chains ...*inheritance) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, chain := range chains {
		chain.markStored()
	}
}

// recordBatch is what the next write of the account records with it.
type recordBatch struct {
	turns     []*turnRecord
	inherited []*inheritance // chains that the turns continue from
	writes    []tablestore.Write
	// conditions are that the long inputs of the turns are stored.
	conditions []tablestore.Condition
}

// entries returns how many entries of a transaction the batch takes.
func (b *recordBatch) entries() int { return len(b.writes) + len(b.conditions) }

// nextRecords returns the turns that wait to be recorded, as many as fit into one transaction, with the chains that they
// inherit. Turns whose chain or input has to be stored before them are left out. The mutex is held.
func (e *entry) nextRecords(part int) recordBatch {
	var batch recordBatch
	size := 0
	for _, rec := range e.pendingRecords() {
		writes, conditions, ok := rowsOf(part, e.program, rec.turn)
		if !ok {
			continue
		}
		added := rec.turn.recordedBytes()
		chain := e.missingChain(rec.turn)
		if chain != nil && !chain.fitsBeside(rec.turn) {
			continue
		}
		if chain != nil && !slices.Contains(batch.inherited, chain) {
			writes, added = append(writes, chain.writes(part, e.program)...), added+chain.size
		} else {
			chain = nil
		}
		if len(batch.turns) > 0 && (size+added > MaxTurnBytes || batch.entries()+len(writes)+len(conditions) > maxBatchRows) {
			continue
		}
		batch.turns, batch.writes, size = append(batch.turns, rec), append(batch.writes, writes...), size+added
		batch.conditions = append(batch.conditions, conditions...)
		if chain != nil {
			batch.inherited = append(batch.inherited, chain)
		}
	}
	return batch
}

// storeEarly starts to store the chain that a turn inherits while the turn runs, if the chain may be too large for the
// transaction that records the turn. The program must have an account: without one, nobody would remove the rows if the
// turn were not recorded in the end.
func (l *Ledger) storeEarly(ctx context.Context, e *entry, request TurnRequest) {
	chain := e.claimEarly(request)
	if chain == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), earlyTimeout)
	go func() {
		defer cancel()
		defer close(chain.early)
		// If it fails, the record of the turn stores the chain first.
		_ = l.retry(ctx, func() error { return l.storeChain(ctx, e, partOf(e.program), chain) })
	}()
}

// claimEarly returns the chain that a turn inherits if it is to be stored while the turn runs, and no turn has started that.
func (e *entry) claimEarly(request TurnRequest) *inheritance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	chain := e.inherited[request.Previous]
	if request.InputBytes == 0 || chain == nil || chain.stored || chain.early != nil || request.recordedInput()+chain.size <= maxBesideRecord {
		return nil
	}
	chain.early = make(chan struct{})
	return chain
}

// storeLarge stores the chain that a turn inherits in the part that is to record the turn, if the chain does not fit into
// the same transaction, and is not stored yet.
func (l *Ledger) storeLarge(ctx context.Context, e *entry, part int, turn *Turn) error {
	chain := e.largeChain(turn)
	if chain == nil {
		return nil
	}
	if part == partOf(e.program) && chain.early != nil {
		select {
		case <-chain.early:
		case <-ctx.Done():
			return errors.Mark(ctx.Err(), tablestore.ErrUnavailable)
		}
	}
	return l.storeChain(ctx, e, part, chain)
}

// largeChain returns the chain that a turn inherits if it is not stored, and does not fit beside the turn.
func (e *entry) largeChain(turn *Turn) *inheritance {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	chain := e.missingChain(turn)
	if chain == nil || chain.fitsBeside(turn) {
		return nil
	}
	return chain
}

// storeChain stores a chain in transactions of its own, unless it is stored in the program's part.
func (l *Ledger) storeChain(ctx context.Context, e *entry, part int, chain *inheritance) error {
	number := 0
	for writes := range slices.Chunk(e.chainWrites(part, chain), maxInheritedPieces) {
		if err := l.health.admit(writing, part, l.options.Now()); err != nil {
			return err
		}
		began := l.options.Now()
		err := l.putOnce(ctx, tablestore.Transaction{
			WriteID:    fmt.Sprintf("%s/inherited/%s/%d", l.options.RunID, chain.turn, number),
			Conditions: []tablestore.Condition{{Key: writes[0].Key}},
			Writes:     writes,
		}, nil)
		l.callEnded(ctx, writing, part, err, began)
		if err != nil {
			return errors.Wrapf(err, "store the turns that continue up to %s", chain.turn)
		}
		number++
	}
	if part == partOf(e.program) {
		e.markStored(chain)
	}
	return nil
}

// chainWrites returns the rows of a chain; none if the program's part has them.
func (e *entry) chainWrites(part int, chain *inheritance) []tablestore.Write {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if chain.stored {
		return nil
	}
	return chain.writes(part, e.program)
}
