package relay

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// ignoringObserver ignores what it is notified of.
type ignoringObserver struct{}

func (ignoringObserver) DirectPathLost(error)         {}
func (ignoringObserver) DirectPathRestored(uint64)    {}
func (ignoringObserver) OutcomeDropped(string, error) {}

// unresponsiveService is a table service that never answers.
type unresponsiveService struct{ tablestore.Table }

func (unresponsiveService) wait(ctx context.Context) error {
	<-ctx.Done()
	return errors.Mark(ctx.Err(), tablestore.ErrUnknownOutcome)
}

// Commit implements tablestore.Table.
func (s unresponsiveService) Commit(ctx context.Context, _ tablestore.Transaction) (tablestore.Receipt, error) {
	return tablestore.Receipt{}, s.wait(ctx)
}

// Range implements tablestore.Table.
func (s unresponsiveService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	return tablestore.Page{}, s.wait(ctx)
}

// Snapshot implements tablestore.Feed.
func (s unresponsiveService) Snapshot(ctx context.Context, _ string) ([]tablestore.Change, uint64, error) {
	return nil, 0, s.wait(ctx)
}

// Changes implements tablestore.Feed.
func (s unresponsiveService) Changes(ctx context.Context, _ string, _ uint64, _ time.Duration) ([]tablestore.Change, uint64, error) {
	return nil, 0, s.wait(ctx)
}

// fakePeers answers in place of the peers: the unresponsive ones never, the others after a delay.
type fakePeers struct {
	unresponsive []string
	delay        time.Duration
}

// Do implements peerClient.
func (p fakePeers) Do(ctx context.Context, address string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	answer := time.NewTimer(p.delay)
	defer answer.Stop()
	if slices.Contains(p.unresponsive, address) {
		answer.Stop()
	}
	select {
	case <-answer.C:
	case <-ctx.Done():
		return nil, errors.Mark(ctx.Err(), wire.ErrLinkBroken)
	}
	if request.GetWatchTable() != nil {
		return &wirepb.Reply{Body: []byte(`{"version":1}`)}, nil
	}
	return &wirepb.Reply{Body: []byte(`{}`)}, nil
}

// TestWayIsJudgedInATimeOfItsOwn guards the path check against missing time to run. The service never answers this
// process, whose only calls wait for changes and end at their own deadline (other processes do all the writes).
// When the check ran within the deadline of the call that triggered it, that call had used up the time and no answer
// could arrive; and when all peers shared one timeout, an unresponsive peer used up that of the next. Processes then
// stayed for 25 s at a configuration that their peers had replaced. Calls must soon go through a peer, whichever
// other peers are unresponsive.
func TestWayIsJudgedInATimeOfItsOwn(t *testing.T) {
	for _, c := range []struct {
		name         string
		peers        []string
		unresponsive []string
		delay        time.Duration // until a peer answers
	}{
		{"all peers answer", []string{"a", "b", "c", "d"}, nil, 5 * time.Millisecond},
		{"two peers are silent", []string{"a", "b", "c", "d"}, []string{"a", "b"}, 5 * time.Millisecond},
		{"all but the last are silent", []string{"a", "b", "c", "d"}, []string{"a", "b", "c"}, 5 * time.Millisecond},
		{"peers take as long as a slow service", []string{"a", "b"}, []string{"a"}, 200 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				table := NewTable(unresponsiveService{}, unresponsiveService{}, "n", ignoringObserver{})
				defer table.Close()
				table.SetPeers(fakePeers{c.unresponsive, c.delay}, c.peers)
				started := time.Now()
				for {
					ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
					_, _, err := table.Changes(ctx, "t", 1, time.Millisecond)
					cancel()
					if err == nil {
						break
					}
					time.Sleep(200 * time.Millisecond) // virtual time
					if time.Since(started) > 5*time.Second {
						t.Fatalf("no call went through a peer within 5 s; last error: %v; direct path lost: %v", err, table.DirectPathLost())
					}
				}
			})
		})
	}
}

// throttlingService is a table service that throttles every read of this process.
type throttlingService struct{ unresponsiveService }

// Range implements tablestore.Table.
func (throttlingService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	time.Sleep(time.Millisecond) // virtual time
	return tablestore.Page{}, errors.Mark(errors.New("throttled"), tablestore.ErrThrottled)
}

// TestCallsThatFailTogetherWaitForOneVerdict makes eight concurrent reads in a process that the service rejects while
// it serves the others. The third failure starts a peer check; calls that fail during the check must wait for its
// result and go through peers as well. If they fail at once, the reader of 32 parts takes the store for down:
// TestTurnedAwayProcessServesOn, case many, failed so in 2 of 21 runs under load.
func TestCallsThatFailTogetherWaitForOneVerdict(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(throttlingService{}, unresponsiveService{}, "n", ignoringObserver{})
		defer table.Close()
		table.SetPeers(fakePeers{delay: 30 * time.Millisecond}, []string{"a", "b"})
		const concurrent = 8
		results := make(chan error, concurrent)
		for range concurrent {
			go func() {
				_, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
				results <- err
			}()
		}
		failed := 0
		for range concurrent {
			if err := <-results; err != nil {
				failed++
			}
		}
		if failed >= failuresForCheck {
			t.Errorf("%d of %d reads failed, want fewer than %d, after which a peer check starts", failed, concurrent, failuresForCheck)
		}
		if table.PeerChecks() != 1 {
			t.Errorf("%d peer checks, want 1", table.PeerChecks())
		}
	})
}

// TestFewCallsLearnToo makes one call at a time in a process that the service rejects while it serves the others,
// with the pauses of a reader that waits after a rejection. The second call must go through a peer, since a third
// would come after its client's deadline. TestTurnedAwayProcessServesOn, case many, failed without this in 3 of 112
// runs under load: two reads of one turn were rejected, 223 ms apart, and the turn with them.
func TestFewCallsLearnToo(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(throttlingService{}, unresponsiveService{}, "n", ignoringObserver{})
		defer table.Close()
		table.SetPeers(fakePeers{delay: 5 * time.Millisecond}, []string{"a"})
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); !errors.Is(err, tablestore.ErrThrottled) {
			t.Fatalf("the first read: got %v, want ErrThrottled", err)
		}
		time.Sleep(200 * time.Millisecond) // virtual time
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
			t.Errorf("the second read: %v", err)
		}
	})
}

// slowThenUnavailable is a table service that is slow at first and then rejects every call of this process.
type slowThenUnavailable struct {
	unresponsiveService
	unavailableAt time.Time
	checkRead     time.Duration // duration of the path check's own small read before that
}

// Range implements tablestore.Table.
func (s slowThenUnavailable) Range(_ context.Context, start, _ string, _ int) (tablestore.Page, error) {
	if !time.Now().Before(s.unavailableAt) {
		time.Sleep(time.Millisecond) // virtual time
		return tablestore.Page{}, errors.Mark(errors.New("unavailable"), tablestore.ErrUnavailable)
	}
	duration := unansweredLimit + 30*time.Millisecond
	if start == secretKey {
		duration = s.checkRead
	}
	time.Sleep(duration) // virtual time
	return tablestore.Page{}, nil
}

// TestSlowMomentHidesNoRefusals makes the service slow at first, so that a path check runs and finds the direct path
// good, and then rejects the process. The rejections must start a new check at once. If the check for the unanswered
// call delayed it by half a second, a client's attempts were over, and the table counted as down for all, before a
// peer was queried.
func TestSlowMomentHidesNoRefusals(t *testing.T) {
	for _, checkRead := range []time.Duration{time.Millisecond, 40 * time.Millisecond, 90 * time.Millisecond} {
		t.Run(checkRead.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := slowThenUnavailable{unavailableAt: time.Now().Add(unansweredLimit + 30*time.Millisecond), checkRead: checkRead}
				table := NewTable(service, unresponsiveService{}, "n", ignoringObserver{})
				defer table.Close()
				table.SetPeers(fakePeers{delay: 5 * time.Millisecond}, []string{"a"})
				if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
					t.Fatalf("the slow read: %v", err)
				}
				failed := 0
				for ; failed <= failuresForCheck; failed++ {
					if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err == nil {
						break
					}
					time.Sleep(40 * time.Millisecond) // virtual time
				}
				if failed > failuresForCheck {
					t.Errorf("%d reads in a row were rejected and no call went through a peer", failed)
				}
			})
		})
	}
}
