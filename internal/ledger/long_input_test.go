package ledger

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// maxKeyBytes is the limit of the store for a key within its table and part.
const maxKeyBytes = 200

// rowsOfLongTurn returns the rows of a recorded turn with a long input, in key order.
func rowsOfLongTurn(t *testing.T, turn *Turn) []tablestore.Row {
	t.Helper()
	l, part := New(Options{RunID: "a"}), partOf("p")
	turn.long = newLongInput(turn.ID, turn.Input)
	attempt := turn.long.attemptIn(part, func() string { return l.newInputName(turn.ID) })
	attempt.head, attempt.complete = 1, true
	writes, conditions, ok := rowsOf(part, "p", turn)
	head := longKey(part, "p", turn.ID, attempt.name, 0)
	if !ok || len(conditions) != 1 || conditions[0] != (tablestore.Condition{Key: head, Revision: 1}) {
		t.Fatalf("the record depends on %v", conditions)
	}
	writes = append(writes, tablestore.Write{Key: head})
	for number := range turn.long.transactions() {
		writes = append(writes, turn.long.writes(part, "p", attempt.name, number)...)
	}
	rows := []tablestore.Row{}
	for _, write := range writes {
		if strings.HasPrefix(write.Key, turnTable) {
			rows = append(rows, tablestore.Row{Key: write.Key, Value: write.Value, Revision: 1})
		}
	}
	slices.SortFunc(rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

// TestRowsOfLongInputs reads a turn whose rows are whole, and without one of them: then it is malformed, and not missing, and
// other turns are found. Without the turn's own row, it does not exist.
func TestRowsOfLongInputs(t *testing.T) {
	turn := &Turn{ID: "t1", Parent: "t0", Input: []byte(strings.Repeat("0123456789", 60_000)), Output: []byte("one\n")}
	whole := rowsOfLongTurn(t, turn)
	if want := pieceKey(partOf("p"), "p", "t1", 0); whole[0].Key != want {
		t.Fatalf("the first row is %s, want %s", whole[0].Key, want)
	}
	read := func(rows []tablestore.Row) *entry {
		e := New(Options{RunID: "a"}).entryOf("p")
		if err := e.applyRows("a", accountKey(partOf("p"), "p"), rows); err != nil {
			t.Fatal(err)
		}
		return e
	}
	got := read(whole).turns["t1"]
	if got == nil || got.Parent != "t0" || string(got.Input) != string(turn.Input) || string(got.Output) != "one\n" || got.Program != "p" {
		t.Error("the turn is not read as it was written")
	}
	for missing := range whole {
		found, err := read(slices.Delete(slices.Clone(whole), missing, missing+1)).loadedTurn("t1")
		if found != nil || (err != nil) != (missing > 0) {
			t.Errorf("without row %d: %v, error %v", missing, found, err)
		}
	}
	recorded, err := RecordedTurns(tablestore.Transaction{Writes: []tablestore.Write{{Key: whole[0].Key, Value: whole[0].Value}}})
	if len(recorded) > 0 || err != nil {
		t.Errorf("the transaction counts as one with the whole turn: %v, %v", recorded, err)
	}
}

// TestLongInputsToOtherBuilds checks that builds that do not know long inputs take the turn for malformed, and its input for
// rows that are no turns, which they remove.
func TestLongInputsToOtherBuilds(t *testing.T) {
	rows := rowsOfLongTurn(t, &Turn{ID: "t1", Input: make([]byte, 600_000), Output: []byte("one\n")})
	_, used := binary.Uvarint(rows[0].Value)
	if _, _, ok := cutFields(rows[0].Value[used:], 3); ok {
		t.Error("the turn is read without its input")
	}
	for _, row := range rows[1:] {
		if _, _, ok := turnOfPiece(row.Key); ok {
			t.Errorf("%s counts as a piece of a turn", row.Key)
		}
		if _, _, _, ok := inheritedPieceOf(row.Key); ok {
			t.Errorf("%s counts as inherited", row.Key)
		}
		if row.Key <= rows[0].Key || row.Key >= programEnd(partOf("p"), "p") {
			t.Errorf("%s is not behind the turn among the rows of the program", row.Key)
		}
	}
}

// TestKeysOfLongInputs checks the keys of the longest names, and that other rows are none of a long input.
func TestKeysOfLongInputs(t *testing.T) {
	program := ProgramKey(strings.Repeat("n", maxTenantBytes), strings.Repeat("p", MaxIDBytes))
	turn, name := strings.Repeat("t", MaxIDBytes), strings.Repeat("z", 13) // the longest number of 64 bits to base 36
	key := longKey(31, program, turn, name, maxLongPieces)
	if length := len(strings.TrimPrefix(key, turnTable+"/31/")); length > maxKeyBytes {
		t.Errorf("the key has %d bytes", length)
	}
	if gotTurn, gotName, row, ok := longRowOf(key); !ok || gotTurn != turn || gotName != name || row != maxLongPieces {
		t.Errorf("read as %s, %s, %d, %v", gotTurn, gotName, row, ok)
	}
	for _, key := range []string{pieceKey(3, "p", "~t1", 0), accountKey(3, "p"), indexKey(3, "p", "t1"), inheritedKey(3, "p", "t1", 2), "a/b/c/t.~x.1"} {
		if _, _, _, ok := longRowOf(key); ok {
			t.Errorf("%s counts as a row of a long input", key)
		}
	}
}

// TestHeldLongInputsAreLimited adds turns with long inputs to a ledger: the oldest ones are dropped from memory.
func TestHeldLongInputsAreLimited(t *testing.T) {
	l := New(Options{RunID: "a"})
	const turns, size = 64, 4 << 20
	for number := range turns {
		e := l.entryOf(fmt.Sprint("p", number%8))
		turn := &Turn{ID: fmt.Sprint("t", number), Input: make([]byte, size)}
		e.turns[turn.ID] = turn
		l.limitInputs(e, turn, &Turn{ID: "unknown", Input: make([]byte, size)})
	}
	held := 0
	for _, e := range l.entries {
		held += len(e.turns)
	}
	if held != maxHeldInputs/size {
		t.Errorf("%d turns are held", held)
	}
	if e := l.entryOf(fmt.Sprint("p", (turns-1)%8)); e.turns[fmt.Sprint("t", turns-1)] == nil {
		t.Error("the newest one was dropped")
	}
}

// TestAccountWritesRecordOnlyStoredInputs prepares an account's write while a turn waits whose input is not stored.
func TestAccountWritesRecordOnlyStoredInputs(t *testing.T) {
	l := New(Options{RunID: "a"})
	e, part := l.entryOf("p"), partOf("p")
	long := &Turn{ID: "u1", Input: make([]byte, 600_000)}
	long.long = newLongInput("u1", long.Input)
	e.pending = []*turnRecord{{turn: long}, {turn: &Turn{ID: "u2"}}}
	if batch := e.nextRecords(part); len(batch.turns) != 1 || len(batch.conditions) != 0 {
		t.Errorf("%d turns are recorded", len(batch.turns))
	}
	attempt := long.long.attemptIn(part, func() string { return "name" })
	attempt.head, attempt.complete = 7, true
	if batch := e.nextRecords(part); len(batch.turns) != 2 || len(batch.conditions) != 1 {
		t.Errorf("%d turns are recorded, with %d conditions", len(batch.turns), len(batch.conditions))
	}
	if !e.forgetInput(part, tablestore.Row{Key: longKey(part, "p", "u1", "name", 0)}) || long.long.storedIn(part) != nil {
		t.Error("an input whose head was removed counts as stored")
	}
	if err := l.putTurn(t.Context(), part, e, long, nil); !errors.Is(err, errInputRemoved) {
		t.Errorf("a turn whose input is not stored: %v", err)
	}
}

// TestAttemptsHaveNamesOfTheirOwn names attempts to store the input of one turn, of two runs: a removal that has read the rows of an
// earlier attempt does not take those of a later one.
func TestAttemptsHaveNamesOfTheirOwn(t *testing.T) {
	names := make(map[string]bool)
	for _, run := range []string{"a", "b"} {
		l := New(Options{RunID: run})
		long := newLongInput("t1", make([]byte, 600_000))
		for range 3 {
			name := long.attemptIn(5, func() string { return l.newInputName("t1") }).name
			if names[name] {
				t.Errorf("two attempts are named %s", name)
			}
			names[name] = true
			long.forget(5, name)
		}
	}
}
