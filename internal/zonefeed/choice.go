package zonefeed

import (
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/rendezvous"
)

// Settings of the election of a zone's watcher.
const (
	// candidates is how many processes of a zone may be its watcher: the first, or the next one
	// while it does not answer. If none of them answers, each process watches by itself. It is more
	// than two because machines that are gone for good stay among the peers.
	candidates = 8
	// watchAfterRequest is how long a process watches for others after a request of one of them, even
	// if it would not choose itself: the other process has other peers, or the first candidate does
	// not respond to it. It is longer than the time between two requests of a process.
	watchAfterRequest = 5 * time.Second
	// choiceKey is the key of this task in rendezvous hashing.
	choiceKey = "zone-watch"
)

// Role is how a process learns of changes.
type Role int

// Roles.
const (
	Standalone Role = iota // it watches the service for itself only
	Watcher                // it watches the service for the zone
	Follower               // it receives changes from the zone's watcher
)

// String returns the role's name in logs.
func (r Role) String() string {
	return [...]string{"alone", "watcher", "follower"}[r]
}

// Assignment is a process's role, and the watcher that it follows.
type Assignment struct {
	Role    Role
	Watcher string // address of the process that a Follower follows
}

// choice chooses a zone's watcher among the peers. It does no I/O and has no clock.
// Not safe for concurrent use.
type choice struct {
	selector    *rendezvous.Selector
	own         string // address of this process
	peers       int    // other processes of the zone
	requestedAt time.Time
}

func newChoice() choice { return choice{selector: rendezvous.New(candidates)} }

// setPeers replaces the other processes of the zone.
func (c *choice) setPeers(own string, peers []string) {
	others := slices.DeleteFunc(slices.Clone(peers), func(address string) bool { return address == own })
	c.own, c.peers = own, len(others)
	c.selector.Set(append(others, own))
}

// recordRequest records that another process uses this one as the watcher.
func (c *choice) recordRequest(now time.Time) { c.requestedAt = now }

// assignment returns the role of this process now.
func (c *choice) assignment(now time.Time) Assignment {
	if !c.requestedAt.IsZero() && now.Sub(c.requestedAt) <= watchAfterRequest {
		return Assignment{Role: Watcher}
	}
	if c.peers == 0 {
		return Assignment{Role: Standalone}
	}
	chosen := c.selector.Candidates(choiceKey, now)
	switch {
	case len(chosen) == 0:
		return Assignment{Role: Standalone}
	case chosen[0] == c.own:
		return Assignment{Role: Watcher}
	}
	return Assignment{Role: Follower, Watcher: chosen[0]}
}
