package ledger

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Rows as earlier builds write them. Processes of two builds share the rows of a program while machines are
// replaced, and a build that is rolled back reads rows of the newer one.
const (
	landedAccount = `{"b":2304,"s":301,"l":120,"a":{"node-1/5f2c":{"t":480,"w":7,"d":"10.1.0.38:7380"},"node-2/77aa":{"t":120,"w":1}}}`
	landedTurn    = "01027431056e6578743b086f6e650a74776f0a" // hexadecimal
)

// TestLandedAccountIsReadAndWrittenBack pins the encoding of accounts: no field is lost or changes its meaning.
func TestLandedAccountIsReadAndWrittenBack(t *testing.T) {
	account, err := decodeAccount(tablestore.Row{Value: []byte(landedAccount), Revision: 1})
	if err != nil {
		t.Fatal(err)
	}
	first := account.Allowances["node-1/5f2c"]
	if account.Budget != 2304 || account.Spent != 301 || account.Least != 120 || account.Outstanding() != 600 ||
		first.Tokens != 480 || first.Write != 7 || first.Address != "10.1.0.38:7380" {
		t.Errorf("read %+v", account)
	}
	written, err := json.Marshal(account)
	if err != nil || string(written) != landedAccount {
		t.Errorf("written back as %s (%v)", written, err)
	}
}

// TestLongRetentionIsReadAndWrittenBack pins the encoding of a retention time that is longer than the shortest one, which accounts
// of other programs do not have.
func TestLongRetentionIsReadAndWrittenBack(t *testing.T) {
	const row = `{"b":2304,"s":301,"l":120,"a":{"node-1/5f2c":{"t":480,"w":7}},"r":600000}`
	account, err := decodeAccount(tablestore.Row{Value: []byte(row), Revision: 1})
	if err != nil || account.RetentionMillis != 600_000 {
		t.Fatalf("read %+v (%v)", account, err)
	}
	for retention, want := range map[time.Duration]int64{time.Minute: 600_000, time.Hour: 3_600_000} {
		next, err := account.Apply(Change{Node: "node-2", Retention: retention})
		if err != nil || next.RetentionMillis != want {
			t.Errorf("after a turn that is kept for %s: %+v (%v)", retention, next, err)
		}
	}
	if written, err := json.Marshal(account); err != nil || string(written) != row {
		t.Errorf("written back as %s (%v)", written, err)
	}
	if _, err := decodeAccount(tablestore.Row{Value: []byte(`{"b":1,"r":-1}`), Revision: 1}); err == nil {
		t.Error("a negative retention was accepted")
	}
}

// TestLandedTurnIsReadAndWrittenBack pins the encoding of turns. Bytes that a newer build appends are ignored.
func TestLandedTurnIsReadAndWrittenBack(t *testing.T) {
	piece, err := hex.DecodeString(landedTurn)
	if err != nil {
		t.Fatal(err)
	}
	for _, added := range [][]byte{nil, []byte("\x03new")} {
		turn, err := decodeTurn("t2", [][]byte{append(bytes.Clone(piece), added...)})
		if err != nil {
			t.Fatal(err)
		}
		if turn.Parent != "t1" || string(turn.Input) != "next;" || string(turn.Output) != "one\ntwo\n" {
			t.Errorf("read %+v", turn)
		}
		if written := turn.encode(); len(written) != 1 || !bytes.Equal(written[0], piece) {
			t.Errorf("written back as %x", written)
		}
	}
}

// TestDamagedTurnsAreErrors truncates a turn at each byte.
func TestDamagedTurnsAreErrors(t *testing.T) {
	piece, err := hex.DecodeString(landedTurn)
	if err != nil {
		t.Fatal(err)
	}
	for length := range piece {
		if turn, err := decodeTurn("t2", [][]byte{piece[:length]}); err == nil {
			t.Errorf("%d bytes of %d were read as %+v", length, len(piece), turn)
		}
	}
}

// TestLandedKeys pins the keys of rows: under another key the other build would not find them.
func TestLandedKeys(t *testing.T) {
	for _, landed := range []struct{ tenant, account, piece, index string }{
		{"", "program-turns/28/p1/", "program-turns/28/p1/t2.00", "turn-programs/28/t2"},
		{"tenant-a", "program-turns/28/tenant-a.p1/", "program-turns/28/tenant-a.p1/t2.00", "turn-programs/28/tenant-a.t2"},
		{
			"t/x", "program-turns/28/~34b7ecc1de54f8f09fd34ba9eda7f62b.p1/",
			"program-turns/28/~34b7ecc1de54f8f09fd34ba9eda7f62b.p1/t2.00", "turn-programs/28/~34b7ecc1de54f8f09fd34ba9eda7f62b.t2",
		},
	} {
		program := ProgramKey(landed.tenant, "p1")
		part := partOf(program)
		if key := AccountKey(program); key != landed.account {
			t.Errorf("account at %s, want %s", key, landed.account)
		}
		if key := pieceKey(part, program, "t2", 0); key != landed.piece {
			t.Errorf("turn at %s, want %s", key, landed.piece)
		}
		if key := indexKey(part, program, "t2"); key != landed.index {
			t.Errorf("index at %s, want %s", key, landed.index)
		}
	}
}
