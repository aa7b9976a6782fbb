package node

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Periods for monitoring seeds of other cells, which send no heartbeats to this node.
const (
	seedPingPeriod  = time.Second
	seedPingTimeout = 3 * time.Second
	// seedSkipPeriod is how long a seed that did not reply is skipped.
	seedSkipPeriod = 10 * time.Second
)

// seeds is a node's state for the seeds of other cells: which failed to reply
// recently, and for which ones requests wait. Safe for concurrent use.
type seeds struct {
	mutex   sync.Mutex
	failed  map[string]time.Time // by address
	waiting map[string]int       // requests by address
	watched map[string]bool      // by address; a goroutine pings the seed
}

func newSeeds() *seeds {
	return &seeds{
		failed:  make(map[string]time.Time),
		waiting: make(map[string]int),
		watched: make(map[string]bool),
	}
}

// choose returns a random address, of those that did not fail recently if
// there are any.
func (s *seeds) choose(addresses []string, now time.Time) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var candidates []string
	for _, address := range addresses {
		if at, failed := s.failed[address]; !failed || now.Sub(at) >= seedSkipPeriod {
			candidates = append(candidates, address)
		}
	}
	if len(candidates) == 0 {
		candidates = addresses
	}
	return candidates[rand.IntN(len(candidates))]
}

// recordFailure makes choose skip the seed for seedSkipPeriod.
func (s *seeds) recordFailure(address string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed[address] = now
}

// recordSuccess makes the seed eligible again.
func (s *seeds) recordSuccess(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.failed, address)
}

// beginWait counts a request that waits for the seed. It returns true if
// the seed is not watched yet: the caller must start watchSeed.
func (s *seeds) beginWait(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting[address]++
	unwatched := !s.watched[address]
	s.watched[address] = true
	return unwatched
}

func (s *seeds) endWait(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.waiting[address]--
}

// stopWatch ends the watch and returns true if no request waits for the seed.
func (s *seeds) stopWatch(address string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.waiting[address] > 0 {
		return false
	}
	delete(s.waiting, address)
	delete(s.watched, address)
	return true
}

// watchSeed pings a seed of another cell while requests wait for it. A seed that
// does not reply may be paused with its connections open: all waits for it
// are cancelled.
func (n *Node) watchSeed(ctx context.Context, address string) {
	for backoff.Wait(ctx, seedPingPeriod) && !n.seeds.stopWatch(address) {
		if !n.pingSeed(ctx, address) && ctx.Err() == nil {
			n.seeds.recordFailure(address, time.Now())
			n.forwards.cancelMember(address)
		}
	}
}

// pingSeed requests a bundle newer than any version that the seed can have: its reply is empty.
func (n *Node) pingSeed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedPingTimeout)
	defer cancel()
	_, err := n.peers.Do(ctx, address, &wirepb.Request{
		From: n.settings.Name,
		Body: &wirepb.Request_FetchBundle{FetchBundle: &wirepb.FetchBundle{HaveVersion: math.MaxUint64}},
	}, nil)
	return err == nil
}
