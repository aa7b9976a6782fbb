package relay

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// cutService is a table service of which one part is slow, until no connection to the service can be made any more.
type cutService struct {
	unconnectableService
	partDelay time.Duration
	cutAt     time.Time
}

// Range implements tablestore.Table.
func (s cutService) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	if time.Now().Before(s.cutAt) {
		if start != secretKey {
			return slowService{delay: s.partDelay}.Range(ctx, start, end, limit)
		}
		return tablestore.Page{}, nil
	}
	return s.unconnectableService.Range(ctx, start, end, limit)
}

// TestCallsThatTimeOutConnectingTogetherWaitForOneVerdict makes three concurrent reads in a process that has lost all
// connections to the service, while it serves the others, shortly after a slow part had the path checked. A slow moment is
// no evidence about failures that follow: the third failure in a row must start a peer check of its own.
func TestCallsThatTimeOutConnectingTogetherWaitForOneVerdict(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const partDelay = unansweredLimit + 20*time.Millisecond
		service := cutService{partDelay: partDelay, cutAt: time.Now().Add(partDelay)}
		table := NewTable(service, unresponsiveService{}, "n", ignoringObserver{})
		defer table.Close()
		table.SetPeers(fakePeers{delay: 5 * time.Millisecond}, []string{"a", "b"})
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil || table.DirectPathLost() {
			t.Fatalf("the read of a slow part ended with %v; direct path lost: %v", err, table.DirectPathLost())
		}
		results := make(chan error, failuresForCheck)
		for range failuresForCheck {
			go func() {
				_, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
				results <- err
			}()
		}
		failed := 0
		for range failuresForCheck {
			if err := <-results; err != nil {
				failed++
			}
		}
		if failed >= failuresForCheck {
			t.Errorf("%d reads failed, want fewer than %d, after which a peer check starts", failed, failuresForCheck)
		}
	})
}

// TestCallsFailAtOnceWhileNobodyReachesTheService makes calls while no node can connect to the service. Once none of the
// peers has reached it, calls within peerRetryPause must fail at once: their callers would wait for each attempt.
func TestCallsFailAtOnceWhileNobodyReachesTheService(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(unconnectableService{}, unconnectableService{}, "n", ignoringObserver{})
		defer table.Close()
		peers := []string{"a", "b", "c", "d"}
		table.SetPeers(fakePeers{unresponsive: peers}, peers)
		started := time.Now()
		for _, maxTime := range []time.Duration{2 * time.Second, 0, 0} {
			begun := time.Now()
			_, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
			if took := time.Since(begun); !errors.Is(err, tablestore.ErrUnreachable) || took > maxTime {
				t.Errorf("a call %s after the start ended with %v after %s, want ErrUnreachable within %s", begun.Sub(started), err, took, maxTime)
			}
			time.Sleep(20 * time.Millisecond) // virtual time
		}
	})
}

// busyConnections is a slow table service to which all connections of this process are in use by its writes. A read needs
// a new one, for which the queue on the link is too long.
type busyConnections struct{ slowService }

// Range implements tablestore.Table.
func (busyConnections) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	return unconnectableService{}.Range(ctx, start, end, limit)
}

// waitingPeers answer in place of the peers, late, and send keep-alives meanwhile.
type waitingPeers struct{ delay time.Duration }

// Do implements peerClient.
func (p waitingPeers) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	for left := p.delay; left > 0; left -= keepAliveInterval {
		if !backoff.Wait(ctx, min(left, keepAliveInterval)) {
			return nil, ctx.Err()
		}
		onPart(0, nil)
	}
	return fakePeers{}.Do(ctx, address, request, onPart)
}

// TestLateConnectionIsNoLostPathWhileOthersAreAnswered delays every answer and every connection alike, for this process and
// its peers. Peers say that they wait, as those that the service answered of late do. The service answers each write of this
// process, also while the path is checked, so that a connection that is late must not lose the path.
func TestLateConnectionIsNoLostPathWhileOthersAreAnswered(t *testing.T) {
	const delay = 400 * time.Millisecond
	virtualtime.Test(t, func(t *testing.T) {
		service := busyConnections{slowService{delay: delay}}
		table := NewTable(service, service, "n", ignoringObserver{})
		defer table.Close()
		table.SetPeers(waitingPeers{delay}, []string{"a", "b", "c"})
		var writes sync.WaitGroup
		for i := range 8 {
			writes.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond) // virtual time
				for started := time.Now(); time.Since(started) < 5*time.Second; {
					if _, err := table.Commit(t.Context(), tablestore.Transaction{}); err != nil {
						t.Errorf("a write that the service answers failed: %v", err)
					}
				}
			})
		}
		writes.Wait()
		if table.DirectPathLost() || table.Relayed() > table.PeerChecks() {
			t.Errorf("peers made %d calls besides %d peer checks; direct path lost: %v; want neither, as the service answers",
				table.Relayed()-table.PeerChecks(), table.PeerChecks(), table.DirectPathLost())
		}
	})
}

// refusingService is a table service that refuses all calls of this process from now on. A call that waits for changes began
// before, and is answered while the path is checked.
type refusingService struct {
	unresponsiveService
	waitingUntil time.Time
}

// refuse ends a call after a round trip.
func (refusingService) refuse(ctx context.Context) error {
	backoff.Wait(ctx, 4*time.Millisecond)
	return errors.Mark(errors.New("refused"), tablestore.ErrUnavailable)
}

// Range implements tablestore.Table.
func (s refusingService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	return tablestore.Page{}, s.refuse(ctx)
}

// Changes implements tablestore.Feed.
func (s refusingService) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]tablestore.Change, uint64, error) {
	backoff.Wait(ctx, time.Until(s.waitingUntil))
	return nil, after, nil
}

// TestAnswerToAnEarlierCallKeepsNoLostPath guards against turns that are refused though a peer could make their calls: the
// service refuses this node, and answers a call that began before while the path is checked.
func TestAnswerToAnEarlierCallKeepsNoLostPath(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := refusingService{waitingUntil: time.Now().Add(17 * time.Millisecond)}
		table := NewTable(service, service, "n", ignoringObserver{})
		defer table.Close()
		table.SetPeers(fakePeers{delay: 5 * time.Millisecond}, []string{"a", "b"})
		go func() { _, _, _ = table.Changes(t.Context(), "t", 1, time.Second) }()
		synctest.Wait()
		for call := 1; call <= failuresForCheck; call++ {
			if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil && call == failuresForCheck {
				t.Errorf("the read after which a peer is asked ended with %v", err)
			}
		}
	})
}
