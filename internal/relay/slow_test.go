package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// slowService is a table service that answers all calls of this process after a delay.
type slowService struct {
	unresponsiveService
	delay time.Duration
}

func (s slowService) wait(ctx context.Context) error {
	answer := time.NewTimer(s.delay)
	defer answer.Stop()
	select {
	case <-answer.C:
		return nil
	case <-ctx.Done():
		return s.unresponsiveService.wait(ctx)
	}
}

// Commit implements tablestore.Table.
func (s slowService) Commit(ctx context.Context, _ tablestore.Transaction) (tablestore.Receipt, error) {
	return tablestore.Receipt{}, s.wait(ctx)
}

// Range implements tablestore.Table.
func (s slowService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	return tablestore.Page{}, s.wait(ctx)
}

// TestSlowServiceIsNoLostWay lets the service answer this process and its peers alike, but slowly: every call takes
// 200 ms in place of 4. A call that is unanswered for 150 ms starts a path check. If the check's own small read has
// only 100 ms, and the peer that is queried after it 250 ms, the service seems to answer peers only: calls in flight are
// cancelled and repeated through peers, which wait for the same service. Clients then saw ready answers aborted
// and requests end in 502 and 503, more than before the path check had a timeout of its own.
func TestSlowServiceIsNoLostWay(t *testing.T) {
	for _, delay := range []time.Duration{120, 160, 200, 240, 400} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := slowService{delay: delay}
				table := NewTable(service, service, "n", ignoringObserver{})
				defer table.Close()
				table.SetPeers(fakePeers{delay: delay}, []string{"a", "b", "c"})
				var calls sync.WaitGroup
				for range 8 {
					calls.Go(func() {
						for started := time.Now(); time.Since(started) < 5*time.Second; {
							if _, err := table.Commit(t.Context(), tablestore.Transaction{}); err != nil {
								t.Errorf("a call that the service answers failed: %v", err)
							}
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

// TestSilenceIsNoticedSoon makes the service unresponsive to this process, and some
// peers unresponsive too. The direct path must still be marked as lost within a small part of
// a client's timeout: the own read gets no extra time for unresponsive peers.
func TestSilenceIsNoticedSoon(t *testing.T) {
	for _, c := range []struct {
		unresponsive []string
		maxTime      time.Duration
	}{
		{nil, unansweredLimit + directReadHeadStart + 50*time.Millisecond},
		{[]string{"a", "b"}, unansweredLimit + directReadHeadStart + 3*peerTimeout + 50*time.Millisecond},
	} {
		virtualtime.Test(t, func(t *testing.T) {
			table := NewTable(unresponsiveService{}, unresponsiveService{}, "n", ignoringObserver{})
			defer table.Close()
			table.SetPeers(fakePeers{c.unresponsive, 5 * time.Millisecond}, []string{"a", "b", "c"})
			started := time.Now()
			if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil || time.Since(started) > c.maxTime {
				t.Errorf("%d unresponsive peers: the read ended with %v after %s, want a peer's answer within %s", len(c.unresponsive), err, time.Since(started), c.maxTime)
			}
		})
	}
}
