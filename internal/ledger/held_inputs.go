package ledger

import (
	"slices"
	"sync"
)

// maxHeldInputs limits the bytes of the turns with long inputs that a ledger keeps in memory. Others are read again.
const maxHeldInputs = 16 << 20

// heldInputs are the turns with long inputs that are in memory, oldest first.
type heldInputs struct {
	mutex sync.Mutex
	turns []heldInput
	bytes int
}

type heldInput struct {
	entry *entry
	turn  *Turn
}

func (h heldInput) bytes() int { return len(h.turn.Input) + len(h.turn.Output) }

// add adds turns, and returns those that are to be dropped for them.
func (h *heldInputs) add(e *entry, turns []*Turn) (dropped []heldInput) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	for _, turn := range turns {
		added := heldInput{e, turn}
		h.turns, h.bytes = append(h.turns, added), h.bytes+added.bytes()
	}
	for h.bytes > maxHeldInputs {
		dropped = append(dropped, h.turns[0])
		h.bytes -= h.turns[0].bytes()
		h.turns[0] = heldInput{}
		h.turns = h.turns[1:]
	}
	return dropped
}

// limitInputs drops the oldest turns with long inputs from memory as turns are added to an entry.
func (l *Ledger) limitInputs(e *entry, turns ...*Turn) {
	held := slices.DeleteFunc(slices.Clone(turns), func(turn *Turn) bool { return !IsLongInput(len(turn.Input)) || !e.holds(turn) })
	for _, oldest := range l.heldInputs.add(e, held) {
		oldest.entry.dropTurn(oldest.turn)
	}
}

// holds reports whether a turn is in memory.
func (e *entry) holds(turn *Turn) bool { return e.turnInMemory(turn.ID) == turn }

// dropTurn drops a turn from memory.
func (e *entry) dropTurn(turn *Turn) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.turns[turn.ID] == turn {
		delete(e.turns, turn.ID)
	}
}
