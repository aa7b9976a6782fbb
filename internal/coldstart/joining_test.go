package coldstart

import (
	"fmt"
	"testing"
	"time"
)

// Times at which a node looks for others, as serving has them.
const (
	lookDelay   = 3 * time.Second // from when a node has joined until it takes the list of nodes
	joinSpacing = 4 * time.Second // between two nodes that join
)

// joinLate has a node join that lists those before it: it starts to send lookDelay later, and none of the others lists it.
// Each node that it has found hears of it at once.
func (f *fleet) joinLate(i int, rules Rules, capacity float64) {
	joined := f.join(i, rules, capacity)
	for _, other := range f.nodes[:i] {
		f.announce(other, joined)
	}
	f.pause(joined, lookDelay)
	joined.gate.SetNodes(address(i), addresses(0, i))
}

// TestNodesThatJoinOneAfterAnother guards against more requests to a cold engine than its limit while nodes join one after
// another, each of which lists only those before it until it looks again.
func TestNodesThatJoinOneAfterAnother(t *testing.T) {
	for _, setup := range []struct {
		together, count int // nodes that join at first and list each other, and in all
		rules           Rules
		capacity        float64
	}{
		{1, 7, testRules, 4}, {2, 7, testRules, 4}, {3, 7, testRules, 4}, {1, 12, DefaultRules, 9}, {1, 20, testRules, 28},
	} {
		t.Run(fmt.Sprintf("%d of %d together, capacity %.0f", setup.together, setup.count, setup.capacity), func(t *testing.T) {
			f := &fleet{now: at(0)}
			for i := range setup.together {
				f.join(i, setup.rules, setup.capacity).gate.SetNodes(address(i), addresses(0, setup.together))
			}
			for i := setup.together; i < setup.count; i++ {
				f.run(joinSpacing)
				f.joinLate(i, setup.rules, setup.capacity)
			}
			f.run(lookDelay + 4*time.Second)
			if limit := setup.rules.Limit(setup.capacity); float64(f.maxPerSecond()) > limit {
				t.Errorf("%d requests in a second, the limit is %.1f", f.maxPerSecond(), limit)
			}
		})
	}
}

// announce has one node hear of another that has joined.
func (f *fleet) announce(to, joined *fleetNode) { to.gate.AddNode(joined.address) }

// TestListsReplaceAnnouncements has a node hear of others. They count until a list that was requested later names or lacks them;
// without any list the node admits nothing.
func TestListsReplaceAnnouncements(t *testing.T) {
	members := &senders{}
	expect := func(step string, want int) {
		t.Helper()
		if got := len(members.members); got != want {
			t.Errorf("%s: %d members, want %d", step, got, want)
		}
	}
	members.add(address(1))
	expect("heard of a node, without a list", 0)
	members.set(address(0), addresses(2, 4))
	expect("a list that was requested before the node joined", 4)
	members.add(address(3))
	members.add(address(5))
	expect("heard of a listed node and of another one", 5)
	members.set(address(0), addresses(1, 4))
	expect("a list that names one of them", 5)
	members.set(address(0), addresses(1, 4))
	expect("a later list that still lacks the other one", 4)
	for i := range 2 * maxAnnounced {
		members.add(address(100 + i))
	}
	expect("heard of more nodes than are remembered", 4+maxAnnounced)
}
