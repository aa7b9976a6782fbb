package ledger

import (
	"context"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// TurnSource returns recently recorded turns without a call to the table. They are
// copies of recorded turns, which never change. Safe for concurrent use.
type TurnSource interface {
	// TurnsUpTo returns a turn and its ancestors, newest first, as far as
	// the source has them. The program names the tenant whose turns may be returned.
	TurnsUpTo(ctx context.Context, program, turn string) []*Turn
}

// SetTurnSource makes the ledger query a source before it reads turns from the table.
func (l *Ledger) SetTurnSource(source TurnSource) { l.turnSource.Store(&source) }

// fetch loads a turn and its ancestors from the source into memory, as far as the source has them.
func (l *Ledger) fetch(ctx context.Context, e *entry, id string) {
	source := l.turnSource.Load()
	if source == nil {
		return
	}
	turns := (*source).TurnsUpTo(ctx, e.program, id)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for _, turn := range turns {
		e.keepTurn(turn)
	}
}

// RecordedTurn is a turn that a transaction records.
type RecordedTurn struct {
	Program string // see ProgramKey
	Turn    *Turn
}

// RecordedTurns returns the turns that a transaction records. The error is that of the first turn whose
// rows cannot be decoded; the turns before it are returned.
func RecordedTurns(transaction tablestore.Transaction) ([]RecordedTurn, error) {
	var turns []RecordedTurn
	for i, write := range transaction.Writes {
		program, id, piece, ok := pieceOf(write.Key)
		if !ok || piece != 0 || write.Delete {
			continue
		}
		turn, err := decodeTurn(id, piecesFrom(transaction.Writes[i:], id))
		if errors.Is(err, errInputElsewhere) {
			continue // the transaction does not hold the whole turn
		}
		if err != nil {
			return turns, errors.Wrapf(err, "turn %s", id)
		}
		turn.Program = program
		turns = append(turns, RecordedTurn{Program: program, Turn: turn})
	}
	return turns, nil
}

// piecesFrom returns the values of the leading writes that belong to a turn.
func piecesFrom(writes []tablestore.Write, id string) [][]byte {
	var pieces [][]byte
	for _, write := range writes {
		if _, turn, _, ok := pieceOf(write.Key); !ok || turn != id {
			break
		}
		pieces = append(pieces, write.Value)
	}
	return pieces
}

// pieceOf splits a piece's key; ok is false for other keys.
func pieceOf(key string) (program, turn string, piece int, ok bool) {
	fields := strings.Split(key, "/")
	if len(fields) != 4 || fields[0] != turnTable {
		return "", "", 0, false
	}
	turn, piece, ok = turnOfPiece(key)
	return fields[2], turn, piece, ok
}

// TurnKey returns the key of a turn within the tenant of the program that requests or recorded it, so that no
// other tenant's program can find it.
func TurnKey(program, turn string) string {
	tenant, _ := splitProgram(program)
	return tenant + turn
}
