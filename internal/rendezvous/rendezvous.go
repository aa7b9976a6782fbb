// Package rendezvous chooses nodes by rendezvous hashing over the nodes that a
// directory lists, so that nodes agree on a choice without communication as long as
// their lists are the same. Each node skips peers that recently failed to answer its own
// requests, so a choice is only a hint and correctness must not depend on it.
package rendezvous

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// MaxCandidates is the max number of nodes chosen for one key.
const MaxCandidates = 2

// Durations for which a node that did not answer is skipped.
const (
	firstSuspicion = time.Second // after the first missing answer
	maxSuspicion   = 8 * time.Second
)

// Selector orders nodes for each key. Safe for concurrent use.
type Selector struct {
	limit int

	mutex    sync.Mutex
	members  []string // addresses
	suspects map[string]suspicion
	excluded func(address string) bool // reports nodes to skip, because their zone is unreachable; may be nil
}

// suspicion keeps a node that did not answer from being chosen.
type suspicion struct {
	until    time.Time
	duration time.Duration
}

// New returns a selector without nodes. It uses at most limit of the nodes that it
// is given: the first ones by a hash of their addresses. This bounds the
// connections that a node keeps in a large fleet.
func New(limit int) *Selector { return &Selector{limit: limit, suspects: make(map[string]suspicion)} }

// SetExcluded sets a function that reports nodes to skip; it is evaluated at each choice. It must be
// called at most once, before the selector is used.
func (s *Selector) SetExcluded(excluded func(address string) bool) { s.excluded = excluded }

// Set replaces the nodes.
func (s *Selector) Set(addresses []string) {
	members := FirstByHash(addresses, s.limit)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.members = members
}

// FirstByHash returns the first addresses in the order of their hashes, at most limit, without
// duplicates.
func FirstByHash(addresses []string, limit int) []string {
	members := slices.Clone(addresses)
	slices.SortFunc(members, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	members = slices.Compact(members)
	return members[:min(limit, len(members))]
}

// Candidates returns the nodes to send requests about a key to, at most MaxCandidates, best
// first. It skips suspected and excluded nodes.
func (s *Selector) Candidates(key string, now time.Time) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var best [MaxCandidates]struct {
		address string
		weight  uint64
	}
	for _, address := range s.members {
		if now.Before(s.suspects[address].until) || s.excluded != nil && s.excluded(address) {
			continue
		}
		weight := Weight(address, key)
		for i := range best {
			if best[i].address == "" || weight > best[i].weight {
				copy(best[i+1:], best[i:])
				best[i].address, best[i].weight = address, weight
				break
			}
		}
	}
	addresses := make([]string, 0, MaxCandidates)
	for _, candidate := range best {
		if candidate.address != "" {
			addresses = append(addresses, candidate.address)
		}
	}
	return addresses
}

// Weight returns an address's weight for a key. The address with the highest weight is first.
func Weight(address, key string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(address) // never fails
	_, _ = digest.WriteString("\n")
	_, _ = digest.WriteString(key)
	return digest.Sum64()
}

// Suspect makes Candidates skip a node that did not answer: for firstSuspicion, and twice as long
// each time in a row, up to maxSuspicion. It reports whether the node was not suspected before.
func (s *Selector) Suspect(address string, now time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	entry, existed := s.suspects[address]
	if now.Before(entry.until) {
		return false
	}
	entry.duration = min(maxSuspicion, max(firstSuspicion, 2*entry.duration))
	entry.until = now.Add(entry.duration)
	s.suspects[address] = entry
	return !existed
}

// ClearSuspicion records that a node answered. It reports whether the node was suspected.
func (s *Selector) ClearSuspicion(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_, found := s.suspects[address]
	delete(s.suspects, address)
	return found
}
