package ledger

import (
	"context"
	"slices"
	"time"
)

// Failing reports whether calls for a program are failing, according to the latest calls: to the table as a whole,
// to the program's part, or on the path to the table.
func (l *Ledger) Failing(request TurnRequest) bool {
	return l.health.isFailing(partOf(request.Program))
}

// OutageDuration returns for how long calls have been failing, to the table as a whole or on the path to it.
// It is zero if they are not, or if only some parts fail.
func (l *Ledger) OutageDuration(now time.Time) time.Duration { return l.health.downDuration(now) }

// CachedHistory returns the inputs and outputs of the turns that a request continues from, without a call to the
// table. It reports false if this node and its turn source lack some of them. Turns never change, and every turn in
// memory was recorded, so the result needs no confirmation by the table.
func (l *Ledger) CachedHistory(ctx context.Context, request TurnRequest) ([]byte, bool) {
	e := l.entryOf(request.Program)
	var chain []*Turn
	for id := request.Previous; id != ""; {
		turn := l.cachedTurn(ctx, e, id)
		if turn == nil || len(chain) == maxChainTurns {
			return nil, false
		}
		chain = append(chain, turn)
		id = turn.Parent
	}
	return historyOf(chain, request.InputBytes), true
}

// historyOf returns the inputs and outputs of a chain of turns, oldest first, with room for spare further bytes. The chain is ordered newest
// first.
func historyOf(chain []*Turn, spare int) []byte {
	size := 0
	for _, turn := range chain {
		size += len(turn.Input) + len(turn.Output)
	}
	content := make([]byte, 0, size+spare)
	for _, turn := range slices.Backward(chain) {
		content = append(content, turn.Input...)
		content = append(content, turn.Output...)
	}
	return content
}
