package ledger

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// A turn whose input is long does not fit into one transaction. Its input is stored before the turn is recorded: a head
// row first, then the pieces, each transaction in rows of the program that follow those of the turn in key order. The
// transaction that records the turn names the input, and is conditional on its head.
//
// Each attempt to store an input has a name of its own, so rows of two attempts never mix. The rows of an unrecorded turn are
// removed with those of the program. If a removal of the program's rows takes a piece, it takes the head too, and not
// later than the piece: it removes rows in key order, and the head is older than all pieces. So no turn is recorded whose
// pieces are being removed. A removal takes the turn's own rows before the pieces, and a read returns them before the
// pieces, so a reader that finds a turn finds its input.

// Limits of long inputs.
const (
	// maxLongPieces is how many pieces an input may have: their numbers have four digits.
	maxLongPieces = 9_999
	// MaxInputBytes is the size limit of the input of a recorded turn.
	MaxInputBytes = maxLongPieces * pieceBytes
	// maxTransactionPieces is how many pieces one transaction writes: 1 MB in the table's encoding, less a margin for keys.
	maxTransactionPieces = MaxTurnBytes / pieceBytes
)

// longMarker is where the first field's length is in a turn that is recorded with its input. A build that does not know
// long inputs takes the turn for malformed, and not for one that does not exist.
const longMarker = math.MaxUint64

// errInputElsewhere reports that the rows of a turn name an input that is stored in other rows.
var errInputElsewhere = errors.New("the input of the turn is in rows of its own")

// errInputRemoved reports that the rows of a long input were removed before its turn was recorded.
var errInputRemoved = errors.New("the stored input was removed before the turn was recorded")

// IsLongInput reports whether an input of this size is stored before its turn is recorded.
func IsLongInput(size int) bool { return size > maxInputBytes }

// longInput is the long input of a turn that is to be recorded. Safe for concurrent use.
type longInput struct {
	turn  string
	input []byte
	// early is closed when the write that was started with the turn has ended; nil if none was started.
	early     chan struct{}
	stopEarly func()

	mutex sync.Mutex
	parts map[int]*storedInput
}

// storedInput is an attempt to store a long input in a part. The mutex of the longInput guards its fields.
type storedInput struct {
	name     string
	head     uint64       // revision of the head row; 0 until it is stored
	stored   map[int]bool // transactions with pieces, by number
	complete bool
}

// newLongInput returns the input of a turn; nil if it is not long.
func newLongInput(turn string, input []byte) *longInput {
	if !IsLongInput(len(input)) {
		return nil
	}
	return &longInput{turn: turn, input: input, parts: make(map[int]*storedInput), stopEarly: func() {}}
}

// attemptIn returns the current attempt to store the input in a part; newName names a new one.
func (i *longInput) attemptIn(part int, newName func() string) *storedInput {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if i.parts[part] == nil {
		i.parts[part] = &storedInput{name: newName(), stored: make(map[int]bool)}
	}
	return i.parts[part]
}

// storedIn returns the attempt that has stored the whole input in a part; nil if none has.
func (i *longInput) storedIn(part int) *storedInput {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if attempt := i.parts[part]; attempt != nil && attempt.complete {
		return attempt
	}
	return nil
}

// forget drops the attempt in a part, whose rows were removed.
func (i *longInput) forget(part int, name string) {
	i.mutex.Lock()
	defer i.mutex.Unlock()
	if attempt := i.parts[part]; attempt != nil && attempt.name == name {
		delete(i.parts, part)
	}
}

// longPieces returns how many pieces an input of this size has.
func longPieces(size uint64) uint64 { return (size + pieceBytes - 1) / pieceBytes }

// transactions returns how many transactions store the pieces.
func (i *longInput) transactions() int {
	pieces := int(longPieces(uint64(len(i.input))))
	return (pieces + maxTransactionPieces - 1) / maxTransactionPieces
}

// writes returns the rows of one transaction. Their values are parts of the input, without a copy.
func (i *longInput) writes(part int, program, name string, transaction int) []tablestore.Write {
	var writes []tablestore.Write
	for piece := transaction * maxTransactionPieces; len(writes) < maxTransactionPieces && piece*pieceBytes < len(i.input); piece++ {
		writes = append(writes, tablestore.Write{
			Key:   longKey(part, program, i.turn, name, piece+1),
			Value: i.input[piece*pieceBytes : min(len(i.input), (piece+1)*pieceBytes)],
		})
	}
	return writes
}

// newInputName returns a name for an attempt to store an input, which no other attempt of any run has.
func (l *Ledger) newInputName(turn string) string {
	number := l.inputNames.Add(1)
	return strconv.FormatUint(xxhash.Sum64String(fmt.Sprintf("%s/%s/%d", l.options.RunID, turn, number)), 36)
}

// longPrefix starts the name of a long input in the keys of its rows, after the turn and a '.'. Builds that do not know these
// rows take them for neither a turn's piece nor an inherited one.
const longPrefix = "~"

// longKey returns the key of a row of a long input: its head is row 0, its pieces follow.
func longKey(part int, program, turn, name string, row int) string {
	return fmt.Sprintf("%s%s.%s%s.%04d", accountKey(part, program), turn, longPrefix, name, row)
}

// longRowOf returns the turn, the input's name and the row's number of a long input's key; ok is false for other keys.
func longRowOf(key string) (turn, name string, row int, ok bool) {
	fields := strings.Split(key, "/")
	if len(fields) != 4 || fields[0] != turnTable {
		return "", "", 0, false
	}
	parts := strings.Split(fields[3], ".")
	if len(parts) != 3 || parts[0] == "" || !strings.HasPrefix(parts[1], longPrefix) {
		return "", "", 0, false
	}
	row, err := strconv.Atoi(parts[2])
	return parts[0], strings.TrimPrefix(parts[1], longPrefix), row, err == nil
}

// encodeReference returns the rows' content of a turn whose input is stored under a name.
func (t *Turn) encodeReference(name string) []byte {
	reference := append(binary.AppendUvarint(nil, uint64(len(t.Input))), name...)
	content := binary.AppendUvarint(make([]byte, 0, len(t.Output)+len(t.Parent)+len(reference)+32), longMarker)
	for _, field := range [][]byte{[]byte(t.Parent), reference, t.Output} {
		content = binary.AppendUvarint(content, uint64(len(field)))
		content = append(content, field...)
	}
	return content
}

// longInputs are the rows of long inputs, by turn and name: each head, followed by its pieces.
type longInputs map[[2]string][][]byte

// add adds a row, in key order, and reports whether it belongs to a long input.
func (i longInputs) add(row tablestore.Row) bool {
	turn, name, number, ok := longRowOf(row.Key)
	if !ok {
		return false
	}
	key := [2]string{turn, name}
	if number == len(i[key]) {
		i[key] = append(i[key], row.Value)
	}
	return true
}

// decodeReference decodes a turn whose input is in rows of its own.
func decodeReference(id string, content []byte, inputs longInputs) (*Turn, error) {
	fields, _, ok := cutFields(content, 3)
	if !ok {
		return nil, errTurnCorrupt
	}
	size, used := binary.Uvarint(fields[1])
	if used <= 0 || size > MaxInputBytes {
		return nil, errTurnCorrupt
	}
	rows := inputs[[2]string{id, string(fields[1][used:])}]
	if uint64(len(rows)) != longPieces(size)+1 {
		return nil, errors.Wrapf(errInputElsewhere, "%d of %d rows were read", len(rows), longPieces(size)+1)
	}
	input := bytes.Join(rows[1:], nil)
	if uint64(len(input)) != size {
		return nil, errTurnCorrupt
	}
	return &Turn{ID: id, Parent: string(fields[0]), Input: input, Output: fields[2]}, nil
}
