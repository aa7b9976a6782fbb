package originrecord

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
)

// Limits of an index, which takes 16 MB at most. They are those of the rows of two fleets, one of which has ended.
const (
	maxIndexStreams = 2 * maxFleetStreams
	maxIndexStarts  = 8_000
)

// noStart is the number of the start of streams whose origin is unknown: rows state different starts, or the index has no place for it.
const noStart = 0

// index holds the origins of all rows, or of as many streams as it has place for.
type index struct {
	streams map[streamHash]uint32 // number of the start of each, or noStart
	starts  map[uint32]startKey
	numbers map[startKey]uint32 // the reverse of starts
}

func newIndex() index {
	return index{streams: make(map[streamHash]uint32), starts: make(map[uint32]startKey), numbers: make(map[startKey]uint32)}
}

// add adds a row. Without place for further streams, it only compares the origins of those that the index has.
func (i index) add(content row) {
	for _, start := range content.Starts {
		number := i.numberOf(start.startKey)
		for at := 0; at < len(start.Streams); at += hashBytes {
			hash := streamHash(start.Streams[at : at+hashBytes])
			other, found := i.streams[hash]
			switch {
			case found && other != number:
				i.streams[hash] = noStart
			case !found && len(i.streams) < maxIndexStreams:
				i.streams[hash] = number
			}
		}
	}
}

// numberOf returns the number of a start, or noStart if there is no place for it.
func (i index) numberOf(key startKey) uint32 {
	number, found := i.numbers[key]
	if !found && len(i.numbers) < maxIndexStarts {
		number = uint32(len(i.numbers) + 1)
		i.numbers[key], i.starts[number] = number, key
	}
	return number
}

// find returns the origin of a stream, and false if no row names it or rows contradict each other. When it was sent is unknown:
// it counts as sent now, which is the latest.
func (i index) find(stream string, now time.Time) (origins.Origin, bool) {
	key, found := i.starts[i.streams[hashOf(stream)]]
	if !found {
		return origins.Origin{}, false
	}
	return origins.Origin{Stream: stream, Service: key.Service, Version: key.Version, Engine: key.Engine, EngineStart: key.StartUnixMilli, SentAt: now}, true
}
