package ledger

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Parts is the number of independent parts of the table over which the programs are spread.
// A part applies its writes one after another, a few hundred a second, or
// a few while the table is slow; and a part may fail alone. With more parts
// it would be expensive to search for a turn of an unknown program.
const Parts = 32

// MaxIDBytes is the length limit of the id of a program or turn.
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

// Limits and separators of the key segment that stands for a tenant. Together with the ids of a program and a
// turn it fits into a key, which has at most 200 bytes.
const (
	maxTenantBytes     = 48
	tenantHashBytes    = 16
	hashedTenantPrefix = "~" // starts the segment of a tenant whose name is hashed
	tenantSeparator    = "." // between tenant and program, neither of which contains it
)

// ProgramKey returns the key of a tenant's program. A program's account, turns, owner and conversations are stored
// under it, so that no other tenant's request can find them, whatever
// program or turn it names. Without a tenant the key is the program's id, which may be empty.
func ProgramKey(tenant, program string) string {
	if tenant == "" || program == "" {
		return program
	}
	return tenantSegment(tenant) + tenantSeparator + program
}

// tenantSegment returns the key segment of a tenant: its name, or a hash of it.
func tenantSegment(tenant string) string {
	if ValidID(tenant) && len(tenant) <= maxTenantBytes && !strings.HasPrefix(tenant, hashedTenantPrefix) {
		return tenant
	}
	sum := sha256.Sum256([]byte(tenant))
	return hashedTenantPrefix + hex.EncodeToString(sum[:tenantHashBytes])
}

// splitProgram splits a program's key into the tenant's segment, with its separator, and the
// program's id.
func splitProgram(program string) (tenant, id string) {
	start := strings.LastIndex(program, tenantSeparator) + 1
	return program[:start], program[start:]
}

// partOf returns the part of a program's account. It does not depend on the tenant, so that
// rows of a build without tenants are in the same part as the rows that replace them.
func partOf(program string) int {
	_, id := splitProgram(program)
	return int(xxhash.Sum64String(id) % Parts)
}

// turnTable is the name of the table of accounts and turns.
const turnTable = "program-turns"

// accountKey returns the key of a program's account. The keys of the program's turns follow it in key
// order, up to programEnd.
func accountKey(part int, program string) string {
	return fmt.Sprintf("%s/%d/%s/", turnTable, part, program)
}

// AccountKey returns the key of a program's account. The program's turns are in the same part.
func AccountKey(program string) string { return accountKey(partOf(program), program) }

// programEnd returns the exclusive end of the key range of a program.
func programEnd(part int, program string) string {
	return fmt.Sprintf("%s/%d/%s0", turnTable, part, program)
}

// pieceKey returns the key of one piece of a turn.
func pieceKey(part int, program, turn string, piece int) string {
	return fmt.Sprintf("%s%s.%02d", accountKey(part, program), turn, piece)
}

// turnOfPiece returns the turn and the piece number of a piece's key; ok is false for other keys.
func turnOfPiece(key string) (turn string, piece int, ok bool) {
	name := key[strings.LastIndexByte(key, '/')+1:]
	turn, number, ok := strings.Cut(name, ".")
	if !ok {
		return "", 0, false
	}
	_, err := fmt.Sscanf(number, "%02d", &piece)
	return turn, piece, err == nil
}

// inheritedPrefix starts the last segment of the keys of inherited turns. No ID of a turn contains a '.', so the segment
// is not that of a turn's piece, also for builds that do not know these rows.
const inheritedPrefix = ".~"

// inheritedKey returns the key of one piece of the turns that turns of a program inherit by continuing from a turn of
// another program.
func inheritedKey(part int, program, turn string, piece int) string {
	return fmt.Sprintf("%s%s%s.%04d", accountKey(part, program), inheritedPrefix, turn, piece)
}

// inheritedPieceOf returns the program, the turn and the piece number of an inherited turn's key; ok is false for other
// keys.
func inheritedPieceOf(key string) (program, turn string, piece int, ok bool) {
	fields := strings.Split(key, "/")
	if len(fields) != 4 || fields[0] != turnTable {
		return "", "", 0, false
	}
	name, ok := strings.CutPrefix(fields[3], inheritedPrefix)
	if !ok {
		return "", "", 0, false
	}
	turn, number, _ := strings.Cut(name, ".")
	piece, err := strconv.Atoi(number)
	return fields[2], turn, piece, err == nil
}

// indexKey returns the key of the index row of a turn, which names the program that recorded it. Turns are indexed
// per tenant. The row is in the part that holds the turn.
func indexKey(part int, program, turn string) string {
	return fmt.Sprintf("turn-programs/%d/%s", part, TurnKey(program, turn))
}
