package ledger

import (
	"encoding/hex"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// landedChain is the row of two inherited turns, newest first, in hexadecimal: their number of rows, then the length and
// content of each turn's ID, parent, input and output.
const landedChain = "01" + "027432" + "027431" + "056e6578743b" + "086f6e650a74776f0a" + "027431" + "00" + "026669" + "00"

// TestInheritedTurnsAreReadAndWrittenBack pins the encoding of inherited turns, which builds beside this one read.
func TestInheritedTurnsAreReadAndWrittenBack(t *testing.T) {
	chain := []*Turn{
		{ID: "t2", Parent: "t1", Input: []byte("next;"), Output: []byte("one\ntwo\n")},
		{ID: "t1", Input: []byte("fi"), Output: nil},
	}
	pieces := (&inheritance{turn: "t2", chain: chain}).encode()
	if len(pieces) != 1 || hex.EncodeToString(pieces[0]) != landedChain {
		t.Fatalf("written as %x, want %s", pieces, landedChain)
	}
	read, err := decodeInherited(pieces)
	if err != nil || len(read) != 2 || read[0].ID != "t2" || read[0].Parent != "t1" || string(read[0].Output) != "one\ntwo\n" ||
		read[1].ID != "t1" || read[1].Parent != "" || string(read[1].Input) != "fi" {
		t.Errorf("read %v (%v)", read, err)
	}
}

// TestInheritedRowsAreNoTurnsToOtherBuilds checks that builds that do not know inherited turns take their rows neither for
// pieces of turns nor for rows of another program, whatever the IDs are.
func TestInheritedRowsAreNoTurnsToOtherBuilds(t *testing.T) {
	for _, turn := range []string{"t1", "00", "0", "12ab", "~", "=", "~0"} {
		for _, program := range []string{"p", "tenant.p", "0"} {
			key := inheritedKey(3, program, turn, 12)
			if _, _, ok := turnOfPiece(key); ok {
				t.Errorf("%s counts as a piece of a turn", key)
			}
			if key <= accountKey(3, program) || key >= programEnd(3, program) {
				t.Errorf("%s is not among the rows of program %s", key, program)
			}
			gotProgram, gotTurn, piece, ok := inheritedPieceOf(key)
			if !ok || gotProgram != program || gotTurn != turn || piece != 12 {
				t.Errorf("%s is read as piece %d of %s of %s", key, piece, gotTurn, gotProgram)
			}
		}
	}
	for _, key := range []string{pieceKey(3, "p", "~t1", 0), accountKey(3, "p"), indexKey(3, "p", "t1"), "a/b/c/.~x.y"} {
		if _, _, _, ok := inheritedPieceOf(key); ok {
			t.Errorf("%s counts as inherited", key)
		}
	}
}

// rowsOfChain returns the rows of a chain of a program.
func rowsOfChain(program string, chain *inheritance) []tablestore.Row {
	var rows []tablestore.Row
	for _, write := range chain.writes(partOf(program), program) {
		rows = append(rows, tablestore.Row{Key: write.Key, Value: write.Value, Revision: 1})
	}
	return rows
}

// TestDamagedChains reads chains of which a piece is missing, which were never stored whole, and chains that are malformed,
// which must not be taken for missing.
func TestDamagedChains(t *testing.T) {
	large := &inheritance{turn: "t2", chain: []*Turn{{ID: "t2", Parent: "t1", Input: make([]byte, 100_000)}, {ID: "t1", Input: []byte("first")}}}
	read := func(rows []tablestore.Row) *entry {
		e := New(Options{RunID: "a"}).entryOf("q")
		if err := e.applyRows("a", accountKey(partOf("q"), "q"), rows); err != nil {
			t.Fatal(err)
		}
		return e
	}
	whole := rowsOfChain("q", large)
	if e := read(whole); e.turns["t1"] == nil || e.turns["t2"] == nil || !e.stores(e.turns["t2"]) {
		t.Error("a whole chain is not read")
	}
	for missing := range whole {
		partial := slices.Delete(slices.Clone(whole), missing, missing+1)
		if e := read(partial); len(e.turns) > 0 || e.corrupt["t2"] != nil {
			t.Errorf("without piece %d: %d turns, error %v", missing, len(e.turns), e.corrupt["t2"])
		}
	}
	for _, value := range []string{"", "\x01\x05", "\x01\x02t2\x02t1\x05x"} {
		e := read([]tablestore.Row{{Key: whole[0].Key, Value: []byte(value), Revision: 1}})
		if _, err := e.loadedTurn("t2"); !errors.Is(err, errTurnCorrupt) {
			t.Errorf("value %q: %v, want a malformed chain", value, err)
		}
	}
}

// TestOwnTurnsStayOwn checks that a turn that is known from the program's own rows counts as stored, whatever else names it, and
// that one of another program does not count as stored once a peer returns it without its program.
func TestOwnTurnsStayOwn(t *testing.T) {
	for _, c := range []struct {
		known, next string // programs that the turn is stored under
		stored      bool
	}{{"q", "p", true}, {"q", "", true}, {"p", "q", true}, {"p", "", false}, {"", "p", false}, {"", "", true}} {
		e := New(Options{RunID: "a"}).entryOf("q")
		e.keepTurn(&Turn{ID: "t1", Program: c.known})
		e.keepTurn(&Turn{ID: "t1", Program: c.next})
		if stored := e.stores(e.turns["t1"]); stored != c.stored {
			t.Errorf("known from %q, then from %q: counts as stored is %v", c.known, c.next, stored)
		}
	}
}

// TestAccountWritesRecordOnlyTurnsWithTheirChain prepares an account's write while a turn waits whose chain is not stored
// and does not fit beside it.
func TestAccountWritesRecordOnlyTurnsWithTheirChain(t *testing.T) {
	l := New(Options{RunID: "a"})
	e := l.entryOf("q")
	long := make([]byte, MaxTurnBytes)
	e.inherit([]*Turn{{ID: "t1", Program: "p", Input: long}})
	e.inherit([]*Turn{{ID: "t2", Program: "p", Input: []byte("short")}})
	e.pending = []*turnRecord{{turn: &Turn{ID: "u1", Parent: "t1"}}, {turn: &Turn{ID: "u2", Parent: "t2"}}, {turn: &Turn{ID: "u3", Parent: "t2"}}}
	keysOf := func(batch recordBatch) string {
		var keys []string
		for _, write := range batch.writes {
			keys = append(keys, write.Key[strings.LastIndexByte(write.Key, '/')+1:])
		}
		return strings.Join(keys, " ")
	}
	if got, want := keysOf(e.nextRecords(partOf("q"))), "u2.00 u2 .~t2.0000 u3.00 u3"; got != want {
		t.Errorf("written are %s, want %s", got, want)
	}
	e.inherited["t1"].markStored()
	if got, want := keysOf(e.nextRecords(partOf("q"))), "u1.00 u1 u2.00 u2 .~t2.0000 u3.00 u3"; got != want {
		t.Errorf("once the chain is stored, written are %s, want %s", got, want)
	}
}
