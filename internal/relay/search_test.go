package relay

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// maxBeginWait is how long a turn waits for the turn that it continues from.
const maxBeginWait = 1200 * time.Millisecond

// searches is how many times a caller tries to continue from a turn.
const searches = 3

// searchAllParts has a process search all parts of the table for a turn that does not exist.
func searchAllParts(t *testing.T, table *Table) {
	l := ledger.New(ledger.Options{Table: table, RunID: "n"})
	for try := range searches {
		ctx, cancel := context.WithTimeout(t.Context(), maxBeginWait)
		_, problem := l.Begin(ctx, ledger.TurnRequest{Program: fmt.Sprint("p", try), Budget: 1000, MaxTokens: 100, Previous: "never-said"})
		cancel()
		if problem == nil || problem.Code != api.CallNotFound {
			t.Errorf("try %d: got %v, want call_not_found", try, problem)
		}
	}
}

// TestSearchThroughAPeerLeavesItOtherCalls has processes that the service rejects search all parts of the table for a turn,
// through the only peer, while one of them makes other reads. At a slow service, the reads of a search overlap: if they
// use all calls that the peer makes for others, it declines one of them, the search fails, and calls fail for a while.
func TestSearchThroughAPeerLeavesItOtherCalls(t *testing.T) {
	for _, c := range []struct {
		delay             time.Duration // of the service
		processes, others int
	}{{4, 1, 2}, {100, 1, 2}, {200, 1, 2}, {240, 1, 2}, {300, 1, 2}, {400, 1, 0}, {200, 2, 0}} {
		delay := c.delay * time.Millisecond
		t.Run(fmt.Sprintf("%s, %d processes, %d other reads", delay, c.processes, c.others), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := &changingService{}
				peer := newIdlePeer(t, service)
				service.delay.Store(int64(delay))
				var running sync.WaitGroup
				for range c.processes {
					table := newRejectedTable(t, serverPeers{"p": peer})
					defer keepReading(t, table, c.others)()
					running.Go(func() { searchAllParts(t, table) })
				}
				running.Wait()
				if declined := peer.Declined(); declined != 0 {
					t.Errorf("the peer declined %d calls, want 0", declined)
				}
			})
		})
	}
}

// TestFirstTryOfARejectedProcessSearchesAllParts has the service reject a process that does not know yet that it alone is
// rejected, and be slow for its peer. The search for a turn must end in the time of the caller's first try, which also
// includes the path check. It does not if the search waits for the reads of a few parts before it begins the next ones.
func TestFirstTryOfARejectedProcessSearchesAllParts(t *testing.T) {
	for _, delay := range []time.Duration{4, 200, 240, 300} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := &changingService{}
				peers := serverPeers{"p": newIdlePeer(t, service)}
				service.delay.Store(int64(delay))
				table := NewTable(rejectingService{}, rejectingService{}, "n", ignoringObserver{})
				defer table.Close()
				table.SetPeers(peers, []string{"p"})
				l := ledger.New(ledger.Options{Table: table, RunID: "n"})
				ctx, cancel := context.WithTimeout(t.Context(), maxBeginWait)
				defer cancel()
				_, problem := l.Begin(ctx, ledger.TurnRequest{Program: "p", Budget: 1000, MaxTokens: 100, Previous: "never-said"})
				if problem == nil || problem.Code != api.CallNotFound {
					t.Errorf("got %v, want call_not_found", problem)
				}
			})
		})
	}
}

// TestReadsThroughAPeerLeaveItWrites makes more reads at once than the peer makes calls for others, and a write beside them. All
// reads are answered, and the write does not wait for them.
func TestReadsThroughAPeerLeaveItWrites(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const delay = 200 * time.Millisecond
		service := &slowService{delay: delay}
		peer := NewTable(service, service, "p", ignoringObserver{})
		defer peer.Close()
		if _, err := peer.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
			t.Fatal(err)
		}
		table := newRejectedTable(t, serverPeers{"p": NewServer(peer)})
		var reads sync.WaitGroup
		for range 3 * maxCalls {
			reads.Go(func() {
				if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
					t.Errorf("a read that the service answers for the peer failed: %v", err)
				}
			})
		}
		time.Sleep(delay / 2) // virtual time
		started := time.Now()
		if _, err := table.Commit(t.Context(), tablestore.Transaction{}); err != nil || time.Since(started) > delay {
			t.Errorf("the write ended with %v after %s, want success after %s", err, time.Since(started), delay)
		}
		reads.Wait()
	})
}

// TestReadThatWaitsForOthersEndsWithItsCaller has a read wait behind as many as may be in flight, until its caller gives up.
func TestReadThatWaitsForOthersEndsWithItsCaller(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const wait = 20 * time.Millisecond
		service := &changingService{}
		service.delay.Store(int64(200 * time.Millisecond))
		table := newRejectedTable(t, serverPeers{"p": newIdlePeer(t, service)})
		defer keepReading(t, table, maxRelayedReads)()
		time.Sleep(wait) // virtual time
		ctx, cancel := context.WithTimeout(t.Context(), wait)
		defer cancel()
		started := time.Now()
		if _, err := table.Range(ctx, "t/p/a", "t/p/b", 1); err == nil || time.Since(started) != wait {
			t.Errorf("the read ended with %v after %s, want an error after %s", err, time.Since(started), wait)
		}
	})
}

// keepReading makes a number of reads at a time until the returned function is called, which waits for their end.
func keepReading(t *testing.T, table *Table, concurrent int) (end func()) {
	ctx, stop := context.WithCancel(t.Context())
	var readers sync.WaitGroup
	for range concurrent {
		readers.Go(func() {
			for ctx.Err() == nil {
				if _, err := table.Range(ctx, "t/q/a", "t/q/b", 1); err != nil && ctx.Err() == nil {
					t.Errorf("a read beside the others failed: %v", err)
				}
			}
		})
	}
	return func() {
		stop()
		readers.Wait()
	}
}
