package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// idleFor is how long an idle peer has made no call, longer than the service may be silent.
const idleFor = 2 * servedWindow

// changingService answers reads at once until it becomes slow, or silent.
type changingService struct {
	unresponsiveService
	delay  atomic.Int64 // ns
	silent atomic.Bool
}

// Range implements tablestore.Table.
func (s *changingService) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	if s.silent.Load() {
		return s.unresponsiveService.Range(ctx, start, end, limit)
	}
	return slowService{delay: time.Duration(s.delay.Load())}.Range(ctx, start, end, limit)
}

// newIdlePeer returns a peer that the service has answered, and that has made no call for a while.
func newIdlePeer(t *testing.T, service *changingService) *Server {
	t.Helper()
	peer := NewTable(service, service, "p", ignoringObserver{})
	t.Cleanup(peer.Close)
	if _, err := peer.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
		t.Fatal(err)
	}
	time.Sleep(idleFor) // virtual time
	return NewServer(peer)
}

// TestSlowAnswerThroughAnIdlePeerIsWaitedFor lets a process reach a slow service through its only peer, which has made no call
// for a while. If the peer vouches for the service only after an answer of the last half second, it is abandoned after
// 250 ms, and every call fails for the next half second.
func TestSlowAnswerThroughAnIdlePeerIsWaitedFor(t *testing.T) {
	for _, delay := range []time.Duration{100, 240, 300, 400, 600} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := &changingService{}
				table := newRejectedTable(t, serverPeers{"p": newIdlePeer(t, service)})
				defer table.Close()
				service.delay.Store(int64(delay))
				for range 3 {
					if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
						t.Errorf("a read that the service answers for the peer failed: %v", err)
					}
				}
			})
		})
	}
}

// rejectingService is a table service that rejects each read of this process at once.
type rejectingService struct{ unresponsiveService }

// Range implements tablestore.Table.
func (rejectingService) Range(context.Context, string, string, int) (tablestore.Page, error) {
	return tablestore.Page{}, errors.Mark(errors.New("rejected"), tablestore.ErrUnavailable)
}

// TestRejectedProcessLearnsThatAnIdlePeerIsServed has the service reject a process that does not know yet that it alone is
// rejected, while its idle peer gets slow answers. The reads whose failures start the check are answered through the peer.
func TestRejectedProcessLearnsThatAnIdlePeerIsServed(t *testing.T) {
	for _, delay := range []time.Duration{100, 240, 300, 400, 600} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := &changingService{}
				peers := serverPeers{"p": newIdlePeer(t, service)}
				service.delay.Store(int64(delay))
				table := NewTable(rejectingService{}, rejectingService{}, "n", ignoringObserver{})
				defer table.Close()
				table.SetPeers(peers, []string{"p"})
				for range failuresForCheck - 1 {
					_, _ = table.Range(t.Context(), "t/p/a", "t/p/b", 1) // the failures before the one that starts the check
				}
				if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
					t.Errorf("a read that the service answers for the peer failed: %v", err)
				}
				if !table.DirectPathLost() {
					t.Error("the direct path is not lost, though the service answers a peer and not this process")
				}
			})
		})
	}
}

// TestIdlePeerWithASilentServiceIsLeft makes the service silent to an idle peer as well. The peer sends no keep-alives once its
// first call has waited for servedWindow, and is then abandoned as fast as one that has failed.
func TestIdlePeerWithASilentServiceIsLeft(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const margin = 50 * time.Millisecond
		service := &changingService{}
		table := newRejectedTable(t, serverPeers{"p": newIdlePeer(t, service)})
		defer table.Close()
		service.silent.Store(true)
		for number, limit := range []time.Duration{servedWindow + peerTimeout, peerTimeout, peerTimeout} {
			started := time.Now()
			if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err == nil {
				t.Error("a read that the peer did not answer succeeded")
			}
			if took := time.Since(started); took > limit+margin {
				t.Errorf("read %d failed after %s, want within %s", number, took, limit)
			}
			time.Sleep(2 * peerRetryPause) // virtual time
		}
	})
}

// TestCallGivenUpEarlyIsNoSilence has the caller of an idle peer's own call give it up before a slow service could answer.
// If the silence lasted from then on, the peer would send no keep-alives for the next call.
func TestCallGivenUpEarlyIsNoSilence(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := &changingService{}
		peer := newIdlePeer(t, service)
		table := newRejectedTable(t, serverPeers{"p": peer})
		defer table.Close()
		service.delay.Store(int64(400 * time.Millisecond))
		ctx, cancel := context.WithTimeout(t.Context(), unansweredLimit/2)
		defer cancel()
		if _, err := peer.table.Range(ctx, "t/p/a", "t/p/b", 1); err == nil {
			t.Fatal("the peer's own read was answered before its caller gave it up")
		}
		time.Sleep(idleFor) // virtual time
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
			t.Errorf("a read that the service answers for the peer failed: %v", err)
		}
	})
}
