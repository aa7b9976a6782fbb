package platform

import (
	"iter"
	"slices"
	"sort"
)

// maxChunk is the number of keys at which a chunk is split into two.
const maxChunk = 1024

// keyIndex is a sorted set of keys, divided into chunks so that an insert
// moves few keys. Every chunk is sorted and holds at least one key; the
// chunks are in order. It is not safe for concurrent use.
type keyIndex struct {
	chunks [][]string
}

// chunkOf returns the index of the chunk that holds or would hold the key:
// the last chunk that starts at or before it, or else the first.
func (k *keyIndex) chunkOf(key string) int {
	after := sort.Search(len(k.chunks), func(i int) bool { return k.chunks[i][0] > key })
	return max(0, after-1)
}

// insert adds a key that is not in the set.
func (k *keyIndex) insert(key string) {
	if len(k.chunks) == 0 {
		k.chunks = [][]string{{key}}
		return
	}
	number := k.chunkOf(key)
	chunk := k.chunks[number]
	position, _ := slices.BinarySearch(chunk, key)
	chunk = slices.Insert(chunk, position, key)
	k.chunks[number] = chunk
	if len(chunk) < maxChunk {
		return
	}
	upper := slices.Clone(chunk[maxChunk/2:])
	k.chunks[number] = chunk[:maxChunk/2]
	k.chunks = slices.Insert(k.chunks, number+1, upper)
}

// remove deletes a key that is in the set.
func (k *keyIndex) remove(key string) {
	number := k.chunkOf(key)
	chunk := k.chunks[number]
	position, _ := slices.BinarySearch(chunk, key)
	chunk = slices.Delete(chunk, position, position+1)
	k.chunks[number] = chunk
	if len(chunk) == 0 {
		k.chunks = slices.Delete(k.chunks, number, number+1)
	}
}

// from yields the keys at or after start, in order.
func (k *keyIndex) from(start string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for number := k.chunkOf(start); number < len(k.chunks); number++ {
			chunk := k.chunks[number]
			position, _ := slices.BinarySearch(chunk, start)
			for _, key := range chunk[position:] {
				if !yield(key) {
					return
				}
			}
		}
	}
}
