package ledger

import (
	"bytes"
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// pieceBytes is the size limit of one row of a turn.
const pieceBytes = 48 << 10

// maxInputBytes is the size up to which the input of a turn is recorded in the turn's own rows, so that the turn fits into one
// transaction of 1 MB in the table's encoding. A longer input is stored before; see longInput.
const maxInputBytes = 500 << 10

// MaxTurnBytes is the size limit of what one transaction records of a turn: its output, and its input unless that is
// long. Encoded, they fit into one transaction of 1 MB.
const MaxTurnBytes = 700 << 10

// errTurnCorrupt reports that the rows of a turn cannot be decoded.
var errTurnCorrupt = errors.New("malformed rows of a turn")

// Turn is one answered turn of a program: what it added to its
// conversation.
type Turn struct {
	ID     string
	Parent string // turn that it continues from; empty for the first turn of a conversation
	// Program is the program under whose key the turn is stored, see ProgramKey; empty if that is unknown. It is
	// part of the rows' keys, and not of their values.
	Program string
	Input   []byte // body of the caller's request
	Output  []byte // data of each event of the answer, each followed by a line feed

	long *longInput // while the turn is recorded; nil if its input is not long
}

// recordedBytes returns how many bytes of its input and output a turn takes in the transaction that records it.
func (t *Turn) recordedBytes() int {
	if t.long != nil {
		return len(t.Output)
	}
	return len(t.Input) + len(t.Output)
}

// encode returns the turn in pieces, one for each row. The first piece starts with
// the number of pieces.
func (t *Turn) encode() [][]byte {
	content := make([]byte, 0, len(t.Parent)+len(t.Input)+len(t.Output)+16)
	for _, field := range [][]byte{[]byte(t.Parent), t.Input, t.Output} {
		content = binary.AppendUvarint(content, uint64(len(field)))
		content = append(content, field...)
	}
	return splitContent(content)
}

// splitContent splits content into pieces, one for each row. The first piece starts with the number of pieces.
func splitContent(content []byte) [][]byte {
	count := max(1, (len(content)+pieceBytes-1)/pieceBytes)
	pieces := make([][]byte, count)
	for i := range pieces {
		pieces[i] = content[i*pieceBytes : min(len(content), (i+1)*pieceBytes)]
	}
	pieces[0] = append(binary.AppendUvarint(nil, uint64(count)), pieces[0]...)
	return pieces
}

// decodeTurn decodes a turn from its pieces. The error is errInputElsewhere if its input is long.
func decodeTurn(id string, pieces [][]byte) (*Turn, error) { return decodeWithInputs(id, pieces, nil) }

// decodeWithInputs decodes a turn from its pieces. If its input is long, it is one of inputs.
func decodeWithInputs(id string, pieces [][]byte, inputs longInputs) (*Turn, error) {
	content := bytes.Join(pieces, nil)
	_, used := binary.Uvarint(content)
	content = content[max(0, used):]
	if marker, used := binary.Uvarint(content); used > 0 && marker == longMarker {
		return decodeReference(id, content[used:], inputs)
	}
	fields, _, ok := cutFields(content, 3)
	if !ok {
		return nil, errTurnCorrupt
	}
	return &Turn{ID: id, Parent: string(fields[0]), Input: fields[1], Output: fields[2]}, nil
}

// cutFields cuts fields, each preceded by its length, off the start of content. ok is false if content is malformed.
func cutFields(content []byte, count int) (fields [][]byte, rest []byte, ok bool) {
	fields = make([][]byte, count)
	for i := range fields {
		length, used := binary.Uvarint(content)
		if used <= 0 || length > uint64(len(content)-used) {
			return nil, nil, false
		}
		fields[i] = content[used : used+int(length)]
		content = content[used+int(length):]
	}
	return fields, content, true
}
