package relay

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// serverPeers answers requests to peers by their servers in this process; keys are addresses.
type serverPeers map[string]*Server

// Do implements peerClient.
func (s serverPeers) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	replies := make(chan *wirepb.Reply, 1)
	parts := make(chan struct{}, 100)
	// A peer has a context of its own: only its keep-alives show the requesting process that its call makes progress.
	peerContext, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		replies <- s[address].ServePeer(peerContext, request, func(int64, []byte) { parts <- struct{}{} })
	}()
	for {
		select {
		case reply := <-replies:
			return reply, nil
		case <-parts:
			if onPart != nil {
				onPart(0, nil)
			}
		case <-ctx.Done():
			return nil, errors.Mark(ctx.Err(), wire.ErrLinkBroken)
		}
	}
}

// newRejectedTable returns the table of a process that the service rejects while it serves the process's peers.
func newRejectedTable(t *testing.T, peers serverPeers) *Table {
	t.Helper()
	table := NewTable(unresponsiveService{}, unresponsiveService{}, "n", ignoringObserver{})
	var addresses []string
	for address := range peers {
		addresses = append(addresses, address)
	}
	table.SetPeers(peers, addresses)
	table.markLost(errors.New("rejected"))
	t.Cleanup(table.Close)
	return table
}

// TestSlowAnswerThroughAPeerIsWaitedFor lets a process reach a slow service through its only peer. If the peer is
// abandoned after 250 ms whatever it does, no other peer is left and every call fails for the next half second: the
// process rejects clients with 503 although it has a path. Seen where the service took 200 ms and the load the rest.
func TestSlowAnswerThroughAPeerIsWaitedFor(t *testing.T) {
	for _, delay := range []time.Duration{100, 240, 300, 400, 600} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := slowService{delay: delay}
				peer := NewTable(service, service, "p", ignoringObserver{})
				defer peer.Close()
				table := newRejectedTable(t, serverPeers{"p": NewServer(peer)})
				defer table.Close()
				ctx, stop := context.WithCancel(t.Context())
				var peerCalls sync.WaitGroup
				for range 3 { // the peer's own calls, which show it that the service answers
					time.Sleep(delay / 3) // virtual time
					peerCalls.Go(func() {
						for ctx.Err() == nil {
							_, _ = peer.Range(ctx, "t/q/a", "t/q/b", 1)
						}
					})
				}
				time.Sleep(delay) // virtual time
				defer peerCalls.Wait()
				defer stop()
				for range 3 {
					if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
						t.Errorf("a read that the service answers for the peer failed: %v", err)
					}
				}
			})
		})
	}
}

// TestPeerWithASilentServiceIsLeftSoon makes the service unresponsive to the peers as well. They must send no
// keep-alives, and each is abandoned as fast as one that has failed. If peers sent keep-alives whether or not the
// service answered them, each was waited for a second, and the process learned that much later that its direct path
// was lost.
func TestPeerWithASilentServiceIsLeftSoon(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		first, second := NewTable(unresponsiveService{}, unresponsiveService{}, "p", ignoringObserver{}), NewTable(unresponsiveService{}, unresponsiveService{}, "q", ignoringObserver{})
		defer first.Close()
		defer second.Close()
		table := newRejectedTable(t, serverPeers{"p": NewServer(first), "q": NewServer(second)})
		defer table.Close()
		started := time.Now()
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err == nil {
			t.Error("a read that no peer answered succeeded")
		}
		if took := time.Since(started); took > 2*peerTimeout+50*time.Millisecond {
			t.Errorf("the read failed after %s, want within two peer timeouts", took)
		}
	})
}

// arrivingService is a table service whose answers to reads arrive in parts over a while.
type arrivingService struct {
	unresponsiveService
	took time.Duration
}

// partInterval is the time between two parts of an answer.
const partInterval = 50 * time.Millisecond

// Range implements tablestore.Table.
func (s arrivingService) Range(ctx context.Context, start, _ string, _ int) (tablestore.Page, error) {
	for range s.took / partInterval {
		time.Sleep(partInterval) // virtual time
		progress.Report(ctx)
	}
	return tablestore.Page{Rows: []tablestore.Row{{Key: start, Revision: 1}}}, ctx.Err()
}

// TestPageThatArrivesThroughAPeerIsWaitedFor guards against leaving a peer while the page that it reads is arriving: a peer
// to which the service has answered nothing else for half a second sent no keep-alives, and a process that the service
// rejects could read no program of 1 MB.
func TestPageThatArrivesThroughAPeerIsWaitedFor(t *testing.T) {
	for _, took := range []time.Duration{200, 400, 600, 900} {
		took *= time.Millisecond
		t.Run(took.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := arrivingService{took: took}
				peer := NewTable(service, service, "p", ignoringObserver{})
				defer peer.Close()
				table := newRejectedTable(t, serverPeers{"p": NewServer(peer)})
				defer table.Close()
				page, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
				if err != nil || len(page.Rows) != 1 || page.More {
					t.Errorf("got %+v, %v", page, err)
				}
			})
		})
	}
}

// TestLongPageThatArrivesThroughAPeerIsWaitedFor does so with pages that take longer than a call may go unanswered, over a busy link.
func TestLongPageThatArrivesThroughAPeerIsWaitedFor(t *testing.T) {
	for _, took := range []time.Duration{1200, 1500, 3000} {
		took *= time.Millisecond
		t.Run(took.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := arrivingService{took: took}
				peer := NewTable(service, service, "p", ignoringObserver{})
				defer peer.Close()
				table := newRejectedTable(t, serverPeers{"p": NewServer(peer)})
				defer table.Close()
				page, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
				if err != nil || len(page.Rows) != 1 || page.More {
					t.Errorf("got %+v, %v", page, err)
				}
			})
		})
	}
}

// decodingService is a table service whose answers to reads arrive at once, in a process that takes a while to decode them.
type decodingService struct {
	unresponsiveService
	took time.Duration
}

// Range implements tablestore.Table.
func (s decodingService) Range(ctx context.Context, start, _ string, _ int) (tablestore.Page, error) {
	progress.Report(ctx)
	time.Sleep(s.took) // virtual time
	return tablestore.Page{Rows: []tablestore.Row{{Key: start, Revision: 1}}}, nil
}

// TestPageThatAPeerDecodesIsWaitedFor guards against leaving a peer that has the whole page and still decodes it. Without
// processor time that took 1.5 s for 1 MB; the peer sent no keep-alives from 1 s after the last part on.
func TestPageThatAPeerDecodesIsWaitedFor(t *testing.T) {
	for _, took := range []time.Duration{600, 1200, 1500, 3000} {
		took *= time.Millisecond
		t.Run(took.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := decodingService{took: took}
				peer := NewTable(service, service, "p", ignoringObserver{})
				defer peer.Close()
				table := newRejectedTable(t, serverPeers{"p": NewServer(peer)})
				defer table.Close()
				page, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
				if err != nil || len(page.Rows) != 1 || page.More {
					t.Errorf("got %+v, %v", page, err)
				}
			})
		})
	}
}

// stallingService is a table service whose answers to reads begin to arrive and never end.
type stallingService struct{ unresponsiveService }

// Range implements tablestore.Table.
func (s stallingService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	progress.Report(ctx)
	return tablestore.Page{}, s.wait(ctx)
}

// TestPageThatStallsAtAPeerIsGivenUp bounds how long a peer is waited for whose page has begun to arrive: until the peer
// gives its call up.
func TestPageThatStallsAtAPeerIsGivenUp(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		peer := NewTable(stallingService{}, stallingService{}, "p", ignoringObserver{})
		defer peer.Close()
		table := newRejectedTable(t, serverPeers{"p": NewServer(peer)})
		defer table.Close()
		started := time.Now()
		_, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
		if took := time.Since(started); err == nil || took > serveTimeout+peerTimeout {
			t.Errorf("got %v after %s, want an error within %s", err, took, serveTimeout+peerTimeout)
		}
	})
}
