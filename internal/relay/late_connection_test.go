package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// busyLinkService is a table service behind a link with a queue: every answer is late, and so is every connection. Every
// fifth call needs a new connection, and an attempt to connect times out if it takes connectTimeout.
type busyLinkService struct {
	slowService
	connectTimeout time.Duration
	mutex          *sync.Mutex
	calls          *int
}

// call makes a call, with a new connection if it needs one.
func (s busyLinkService) call(ctx context.Context) error {
	s.mutex.Lock()
	*s.calls++
	connects := *s.calls%5 == 0
	s.mutex.Unlock()
	if connects {
		backoff.Wait(ctx, min(s.delay, s.connectTimeout))
	}
	if connects && s.delay >= s.connectTimeout {
		err := errors.Mark(errors.Mark(context.DeadlineExceeded, tablestore.ErrUnavailable), tablestore.ErrUnreachable)
		return errors.Mark(err, tablestore.ErrConnectTimedOut)
	}
	return s.wait(ctx)
}

// Commit implements tablestore.Table.
func (s busyLinkService) Commit(ctx context.Context, _ tablestore.Transaction) (tablestore.Receipt, error) {
	return tablestore.Receipt{}, s.call(ctx)
}

// Range implements tablestore.Table.
func (s busyLinkService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	return tablestore.Page{}, s.call(ctx)
}

// TestLateConnectionIsNoLostPath guards against a node that sends all its calls through peers because one connection to
// the service was late, while the service answers on those that it has: behind a large answer on a link between two regions
// everything is some 0.3 s late. The peers share that link, and had to make those calls as well.
func TestLateConnectionIsNoLostPath(t *testing.T) {
	for _, delay := range []time.Duration{100, 200, 300, 400} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := busyLinkService{slowService: slowService{delay: delay}, connectTimeout: 300 * time.Millisecond, mutex: &sync.Mutex{}, calls: new(int)}
				table := NewTable(service, service, "n", ignoringObserver{})
				defer table.Close()
				table.SetPeers(fakePeers{delay: delay}, []string{"a", "b", "c"})
				var calls sync.WaitGroup
				for range 8 {
					calls.Go(func() {
						for started := time.Now(); time.Since(started) < 5*time.Second; {
							_, _ = table.Commit(t.Context(), tablestore.Transaction{}) // a late connection fails its call
							time.Sleep(10 * time.Millisecond)                          // virtual time, as a failed call may end at once
						}
					})
				}
				calls.Wait()
				if table.DirectPathLost() || table.Relayed() > table.PeerChecks() {
					t.Errorf("peers made %d calls besides %d peer checks; direct path lost: %v; want neither, as the service answers",
						table.Relayed()-table.PeerChecks(), table.PeerChecks(), table.DirectPathLost())
				}
			})
		})
	}
}

// unconnectableService is a table service to which no connection can be made: nothing responds to an attempt.
type unconnectableService struct{ unresponsiveService }

// Range implements tablestore.Table.
func (unconnectableService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	backoff.Wait(ctx, 300*time.Millisecond)
	err := errors.Mark(errors.Mark(context.DeadlineExceeded, tablestore.ErrUnavailable), tablestore.ErrUnreachable)
	return tablestore.Page{}, errors.Mark(err, tablestore.ErrConnectTimedOut)
}

// TestConnectionsThatTimeOutLoseThePathSoon checks that a node without any connection to the service soon uses its peers.
func TestConnectionsThatTimeOutLoseThePathSoon(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := NewTable(unconnectableService{}, unconnectableService{}, "n", ignoringObserver{})
		defer table.Close()
		table.SetPeers(fakePeers{delay: 5 * time.Millisecond}, []string{"a", "b", "c"})
		started := time.Now()
		_, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
		if took := time.Since(started); err != nil || took > 300*time.Millisecond {
			t.Errorf("the read ended with %v after %s, want a peer's answer within 300ms", err, took)
		}
	})
}
