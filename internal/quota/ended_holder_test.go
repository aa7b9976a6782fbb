package quota

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// firstAnswerLate is a node's client whose requests sent before a time are answered late.
type firstAnswerLate struct {
	*fleetNode
	until time.Time
	delay time.Duration
}

// Do implements peerClient.
func (p firstAnswerLate) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	sentAt := time.Now()
	reply, err := p.fleetNode.Do(ctx, address, request, onPart)
	if sentAt.Before(p.until) {
		time.Sleep(p.delay) // virtual
	}
	return reply, err
}

// TestLateAnswerOfAnEndedHolderDoesNotHideItsEnd delays a holder's answer. The holder ends meanwhile, which another request
// finds, and the table is away, so that no other node takes the shard. The answer then arrives. Were the end
// hidden, it would be found once more, and the time after which a node may take the shard would begin again.
func TestLateAnswerOfAnEndedHolderDoesNotHideItsEnd(t *testing.T) {
	const late = lateAnswerTimeout - 100*time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		limit := Limit{Rate: 100, Burst: 500, Version: 1}
		f, requester := startFleetWithHolder(limit)
		defer f.shutdown()
		time.Sleep(3 * time.Second) // virtual: the node reads the row of the shard
		f.request(requester, tenant, limit)
		time.Sleep(2 * prefetchLife) // its tokens expire
		sentAt := time.Now()
		requester.client.SetPeers(firstAnswerLate{requester, sentAt.Add(time.Millisecond), late}, len(f.nodes))
		f.request(requester, tenant, limit)
		holder := f.holder(tenant)
		f.update(func() {
			holder.stop()
			holder.dead = true
			f.tableDownUntil = time.Now().Add(time.Minute)
		})
		time.Sleep(time.Until(sentAt.Add(holderTimeout + lostHolderRetry + 10*time.Millisecond))) // virtual: it may be asked again
		go f.request(requester, tenantOfTheSameShard(), limit)
		time.Sleep(10 * time.Millisecond) // virtual: the refused connection takes 2 ms
		found := endFound(requester)
		if time.Since(sentAt) >= late || found.IsZero() {
			t.Fatalf("%s after it ended the holder is not known to have ended", time.Since(sentAt))
		}
		time.Sleep(time.Until(sentAt.Add(late + 50*time.Millisecond))) // virtual: the late answer has arrived
		if again := endFound(requester); !again.Equal(found) {
			t.Errorf("the holder's end was found %s after the request, and again %s after it, since a late answer hid it", found.Sub(sentAt), again.Sub(sentAt))
		}
	})
}

// tenantOfTheSameShard returns another tenant, of the shard of the tenant of these tests. A node decides on it without regard to that
// one's requests, but both have the same holder.
func tenantOfTheSameShard() string {
	for number := 0; ; number++ {
		if other := fmt.Sprintf("tenant %d", number); ShardOf(other) == ShardOf(tenant) {
			return other
		}
	}
}

// endFound returns when a node found that the holder of the tenant's shard has ended; zero if it does not know it.
func endFound(n *fleetNode) time.Time {
	n.holdings.mutex.Lock()
	defer n.holdings.mutex.Unlock()
	l := &n.holdings.leases[ShardOf(tenant)]
	if l.lost != ended {
		return time.Time{}
	}
	return l.freeSince
}

// TestAnswerShowsThatAHolderRuns covers answers before and after a holder was found not to respond, or to have ended.
func TestAnswerShowsThatAHolderRuns(t *testing.T) {
	foundAt := time.Unix(1000, 0)
	before, after := foundAt.Add(-requestTimeout), foundAt.Add(requestTimeout)
	for _, c := range []struct {
		kind   loss
		sentAt time.Time
		runs   bool
	}{{unresponsive, before, true}, {unresponsive, after, true}, {ended, before, false}, {ended, after, true}} {
		l := lease{runID: "own"}
		l.observe(Row{Holder: Holder{Address: "10.0.0.1:7", RunID: "other", Term: 1}, Revision: 1}, before)
		l.failed(c.kind, foundAt)
		l.answered(c.sentAt)
		if runs := l.lost == notLost && l.freeSince.IsZero(); runs != c.runs {
			t.Errorf("found %d, answer to a request of %s later: counts as running %v, want %v", c.kind, c.sentAt.Sub(foundAt), runs, c.runs)
		}
	}
}
