package program

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// Partitions is the number of partitions that programs are hashed into.
const Partitions = 256

// rootDigits is the number of hexadecimal digits at the end of a root id.
const rootDigits = 16

// RootID returns the id of a program without a parent: the cell's name, a dash
// and the seed as 16 hexadecimal digits. The seed must be random.
func RootID(cell string, seed uint64) string {
	return fmt.Sprintf("%s-%016x", cell, seed)
}

// ChildID returns the id of a program's numbered sub-agent.
func ChildID(parent string, number int) string {
	return fmt.Sprintf("%s.%d", parent, number)
}

// ChildNumber returns the number of a sub-agent under its parent. It fails if
// child is not the id of a direct sub-agent of parent.
func ChildNumber(parent, child string) (int, error) {
	suffix, ok := strings.CutPrefix(child, parent+".")
	number, err := strconv.Atoi(suffix)
	if !ok || err != nil || number < 1 {
		return 0, errors.Newf("%q is no sub-agent of %q", child, parent)
	}
	return number, nil
}

// RootOf returns the id of the root of the program's tree: id itself for a
// root. A malformed id is its own root.
func RootOf(id string) string {
	if end := rootEnd(id); end > 0 {
		return id[:end]
	}
	return id
}

// CellOf returns the name of the cell that the program was created in, or an
// error if RootID and NewChild cannot have produced the id.
func CellOf(id string) (string, error) {
	end := rootEnd(id)
	if end <= 0 || !validChildSuffix(id[end:]) {
		return "", errors.Newf("malformed program id %q", id)
	}
	cell := id[:end-rootDigits-1]
	if cell == "" || strings.Contains(cell, "/") {
		return "", errors.Newf("malformed cell name in program id %q", id)
	}
	return cell, nil
}

// PartitionOf returns the partition, 0 to Partitions-1, of the program's
// tree. A program and all its sub-agents share one partition.
func PartitionOf(id string) int {
	return int(xxhash.Sum64String(RootOf(id)) % Partitions)
}

// HeaderKey returns the table key of the program's header row.
func HeaderKey(id string) string {
	return fmt.Sprintf("program/%04d/%s", PartitionOf(id), id)
}

// CallKey returns the table key of one call's row. The keys of one program
// sort in the order of their sequence numbers.
func CallKey(id string, sequence int64) string {
	return fmt.Sprintf("call/%04d/%s/%010d", PartitionOf(id), id, sequence)
}

// rootEnd returns the length of the root part of an id, or 0 if there is no
// well-formed root part. A cell's name may itself contain dashes and dots, so
// the root part ends 16 digits after the last dash.
func rootEnd(id string) int {
	start := strings.LastIndexByte(id, '-') + 1
	end := start + rootDigits
	if start == 0 || end > len(id) {
		return 0
	}
	for _, digit := range []byte(id[start:end]) {
		if !isDecimal(digit) && (digit < 'a' || digit > 'f') {
			return 0
		}
	}
	if end < len(id) && id[end] != '.' {
		return 0
	}
	return end
}

// validChildSuffix reports whether suffix is empty or consists of ".N" parts,
// where N is a positive decimal number without leading zeros.
func validChildSuffix(suffix string) bool {
	if suffix == "" {
		return true
	}
	for _, number := range strings.Split(suffix[1:], ".") {
		if number == "" || number[0] == '0' {
			return false
		}
		for _, digit := range []byte(number) {
			if !isDecimal(digit) {
				return false
			}
		}
	}
	return true
}

func isDecimal(digit byte) bool { return digit >= '0' && digit <= '9' }

// HeaderRange returns the keys between which the headers of one cell's
// programs in one partition lie: start inclusive, end exclusive.
func HeaderRange(cell string, partition int) (start, end string) {
	prefix := fmt.Sprintf("program/%04d/%s", partition, cell)
	return prefix + "-", prefix + "."
}
