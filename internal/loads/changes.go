package loads

import (
	"encoding/binary"

	"github.com/cockroachdb/errors"
)

// Changes are packed by increasing index. Each is a varint that holds the number of indexes skipped
// and, in its lowest bits, the difference of the calls. A difference that does not fit in these
// bits follows as a signed varint. Most changes take one byte.
const (
	differenceBits = 4
	// maxInline is the greatest difference, up or down, that fits in the lowest bits.
	maxInline = 1<<(differenceBits-1) - 1
	// differenceFollows in the lowest bits means that the difference follows.
	differenceFollows = 0
	// noDifference would be the lowest bits of a change of 0; no such change is sent.
	noDifference = maxInline + 1
)

// errChanges is returned for packed changes that cannot be read.
var errChanges = errors.New("invalid encoding of load changes")

// appendChange packs one change; the difference must not be 0.
func appendChange(packed []byte, skipped, difference int) []byte {
	low := differenceFollows
	if difference >= -maxInline && difference <= maxInline {
		low = difference + noDifference
	}
	packed = binary.AppendUvarint(packed, uint64(skipped)<<differenceBits|uint64(low))
	if low == differenceFollows {
		packed = binary.AppendVarint(packed, int64(difference))
	}
	return packed
}

// readChange reads the first change and returns the remaining bytes.
func readChange(packed []byte) (skipped, difference int, rest []byte, err error) {
	head, size := binary.Uvarint(packed)
	if size <= 0 || head>>differenceBits > maxIndexes {
		return 0, 0, nil, errChanges
	}
	rest = packed[size:]
	low := int(head & (1<<differenceBits - 1))
	if low == noDifference {
		return 0, 0, nil, errChanges
	}
	if low != differenceFollows {
		return int(head >> differenceBits), low - noDifference, rest, nil
	}
	long, size := binary.Varint(rest)
	if size <= 0 || long == 0 || long < -maxCalls || long > maxCalls {
		return 0, 0, nil, errChanges
	}
	return int(head >> differenceBits), int(long), rest[size:], nil
}
