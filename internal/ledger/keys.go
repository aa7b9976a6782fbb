package ledger

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Parts is how many independent parts of the table the programs are spread
// over. A part takes its writes one after another, a few hundred a second, and
// a few when the table is slow; and it may be down alone. More parts than this
// make it dear to look for a turn of an unknown program.
const Parts = 32

// MaxIDBytes is the longest id of a program or turn.
const MaxIDBytes = 64

// ValidID reports whether an id of a program or turn can be part of a key.
func ValidID(id string) bool {
	if id == "" || len(id) > MaxIDBytes {
		return false
	}
	for i := range len(id) {
		if c := id[i]; c <= ' ' || c > '~' || c == '/' || c == '.' {
			return false
		}
	}
	return true
}

// partOf returns the part of a program's account.
func partOf(program string) int { return int(xxhash.Sum64String(program) % Parts) }

// accountKey is the key of a program's account. Its turns follow it in key
// order, as programEnd's range does.
func accountKey(part int, program string) string {
	return fmt.Sprintf("program-turns/%d/%s/", part, program)
}

// programEnd is behind every key of a program.
func programEnd(part int, program string) string {
	return fmt.Sprintf("program-turns/%d/%s0", part, program)
}

// pieceKey is the key of one piece of a turn.
func pieceKey(part int, program, turn string, piece int) string {
	return fmt.Sprintf("%s%s.%02d", accountKey(part, program), turn, piece)
}

// turnOfPiece returns the turn of a piece's key; ok is false for other keys.
func turnOfPiece(key string) (turn string, piece int, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	turn, number, ok := strings.Cut(name, ".")
	if !ok {
		return "", 0, false
	}
	_, err := fmt.Sscanf(number, "%02d", &piece)
	return turn, piece, err == nil
}

// indexKey is the key of the row that names a turn's program. It is in the
// part that holds the turn.
func indexKey(part int, turn string) string {
	return fmt.Sprintf("turn-programs/%d/%s", part, turn)
}
