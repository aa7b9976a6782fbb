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

// Bounds of watching seeds of other cells, of which no heartbeats come.
const (
	seedPingPeriod  = time.Second
	seedPingTimeout = 3 * time.Second
	// seedAvoidance is how long a seed that did not answer is passed over.
	seedAvoidance = 10 * time.Second
)

// seeds is what a node knows of the seeds of other cells: which did not answer
// of late, and for which ones requests wait. Safe for concurrent use.
type seeds struct {
	mutex   sync.Mutex
	failed  map[string]time.Time // by address
	waiting map[string]int       // requests by address
	watched map[string]bool      // by address
}

func newSeeds() *seeds {
	return &seeds{
		failed:  make(map[string]time.Time),
		waiting: make(map[string]int),
		watched: make(map[string]bool),
	}
}

// choose returns a random one of the addresses, of those that answered if
// there are any.
func (s *seeds) choose(addresses []string, now time.Time) string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var good []string
	for _, address := range addresses {
		if at, failed := s.failed[address]; !failed || now.Sub(at) >= seedAvoidance {
			good = append(good, address)
		}
	}
	if len(good) == 0 {
		good = addresses
	}
	return good[rand.IntN(len(good))]
}

// noteFailure passes the seed over for a while.
func (s *seeds) noteFailure(address string, now time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.failed[address] = now
}

// noteAnswer lets the seed be chosen again.
func (s *seeds) noteAnswer(address string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.failed, address)
}

// beginWait counts a request that waits for the seed. It returns true if
// nobody watches the seed yet: the caller must begin to.
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

// stopWatch returns true, and takes the watch off, if no request waits.
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

// watchSeed pings a seed of another cell while requests wait for it. One that
// does not answer may be paused with its connections open: all waits for it
// end.
func (n *Node) watchSeed(ctx context.Context, address string) {
	for backoff.Wait(ctx, seedPingPeriod) && !n.seeds.stopWatch(address) {
		if !n.pingSeed(ctx, address) && ctx.Err() == nil {
			n.seeds.noteFailure(address, time.Now())
			n.forwards.memberDied(address)
		}
	}
}

// pingSeed asks for a bundle that the seed can't have: it answers with nothing.
func (n *Node) pingSeed(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, seedPingTimeout)
	defer cancel()
	_, err := n.peers.Do(ctx, address, &wirepb.Request{
		From: n.settings.Name,
		Body: &wirepb.Request_FetchBundle{FetchBundle: &wirepb.FetchBundle{HaveVersion: math.MaxUint64}},
	}, nil)
	return err == nil
}
