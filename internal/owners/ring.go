// Package owners has one node, a program's owner, hold the program's allowance for
// all nodes. The owner is found by rendezvous hashing over the nodes that the
// directory lists, so that nodes agree on it without a word as long as they list the
// same ones. Where they do not, or the owner does not answer, two nodes hold
// allowances at once: that costs writes, never the budget, which conditional writes
// of the account keep.
package owners

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of finding an owner.
const (
	// maxOwners is how many nodes own programs: those that come first by a hash of
	// their addresses. It bounds the connections that a node keeps in a large
	// fleet.
	maxOwners = 32
	// maxAsked is how many nodes are asked to cover one turn.
	maxAsked = 2

	firstSuspicion = time.Second // after a node did not answer
	maxSuspicion   = 8 * time.Second
)

// ring orders nodes for each program. Safe for concurrent use.
type ring struct {
	mutex    sync.Mutex
	owners   []string // addresses
	suspects map[string]suspicion
}

// suspicion keeps questions from a node that did not answer.
type suspicion struct {
	until  time.Time
	length time.Duration
}

func newRing() *ring { return &ring{suspects: make(map[string]suspicion)} }

// set replaces the nodes.
func (r *ring) set(addresses []string) {
	owners := slices.Clone(addresses)
	slices.SortFunc(owners, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.owners = slices.Compact(owners)
	r.owners = r.owners[:min(maxOwners, len(r.owners))]
}

// candidates returns the nodes to ask about a program, the owner first. Nodes that
// did not answer of late are passed over.
func (r *ring) candidates(program string, now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	var best [maxAsked]struct {
		address string
		weight  uint64
	}
	for _, address := range r.owners {
		if now.Before(r.suspects[address].until) {
			continue
		}
		weight := weightOf(address, program)
		for i := range best {
			if best[i].address == "" || weight > best[i].weight {
				copy(best[i+1:], best[i:])
				best[i].address, best[i].weight = address, weight
				break
			}
		}
	}
	found := make([]string, 0, maxAsked)
	for _, one := range best {
		if one.address != "" {
			found = append(found, one.address)
		}
	}
	return found
}

func weightOf(address, program string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(address) // never fails
	_, _ = digest.WriteString("\n")
	_, _ = digest.WriteString(program)
	return digest.Sum64()
}

// suspect passes a node over for a while, longer each time in a row. It reports
// whether the node was not suspected before.
func (r *ring) suspect(address string, now time.Time) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known, found := r.suspects[address]
	if now.Before(known.until) {
		return false
	}
	known.length = min(maxSuspicion, max(firstSuspicion, 2*known.length))
	known.until = now.Add(known.length)
	r.suspects[address] = known
	return !found
}

// trust forgets that a node did not answer. It reports whether it was suspected.
func (r *ring) trust(address string) bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, found := r.suspects[address]
	delete(r.suspects, address)
	return found
}
