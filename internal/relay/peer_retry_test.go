package relay

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// peerWithLostCall answers all calls after a while, except reads of lostKey, to which it sends nothing.
type peerWithLostCall struct{ delay time.Duration }

const lostKey = "t/p/lost"

// Do implements peerClient.
func (p peerWithLostCall) Do(ctx context.Context, _ string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	if request.GetRangeTable().GetStart() == lostKey {
		<-ctx.Done()
		return nil, errors.Mark(ctx.Err(), wire.ErrLinkBroken)
	}
	time.Sleep(p.delay) // virtual time
	return &wirepb.Reply{Body: []byte(`{}`)}, nil
}

// newTableWithLostPath returns the table of a process whose calls go through one peer.
func newTableWithLostPath(t *testing.T, peer peerClient) *Table {
	t.Helper()
	table := NewTable(unresponsiveService{}, unresponsiveService{}, "n", ignoringObserver{})
	t.Cleanup(table.Close)
	table.SetPeers(peer, []string{"p"})
	table.markLost(errors.New("rejected"))
	return table
}

// TestLateCallDelaysNoOthers guards against failing all calls for half a second because one call through the only peer got no
// answer, while the peer answered others: a process that the service rejects then rejected its clients with 503, though its
// peer served it.
func TestLateCallDelaysNoOthers(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newTableWithLostPath(t, peerWithLostCall{delay: 100 * time.Millisecond})
		defer table.Close()
		lost := make(chan error, 1)
		go func() {
			_, err := table.Range(t.Context(), lostKey, lostKey+"\x00", 1)
			lost <- err
		}()
		time.Sleep(time.Millisecond) // virtual time
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
			t.Fatalf("a read beside the lost one: %v", err)
		}
		if err := <-lost; err == nil {
			t.Fatal("the lost read succeeded")
		}
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
			t.Errorf("a read after the lost one: %v", err)
		}
	})
}

// TestAnswerEndsTheRetryPause lets a peer answer a call that was in flight when another one failed. Calls must go through that
// peer from then on, and not fail for the rest of half a second.
func TestAnswerEndsTheRetryPause(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		table := newTableWithLostPath(t, peerWithLostCall{delay: 200 * time.Millisecond})
		defer table.Close()
		lost, answered := make(chan error, 1), make(chan error, 1)
		go func() {
			_, err := table.Range(t.Context(), lostKey, lostKey+"\x00", 1)
			lost <- err
		}()
		time.Sleep(100 * time.Millisecond) // virtual time
		go func() {
			_, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1)
			answered <- err
		}()
		if err := <-lost; err == nil {
			t.Fatal("the lost read succeeded")
		}
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err == nil {
			t.Error("a read succeeded though no peer had answered since the first call began")
		}
		if err := <-answered; err != nil {
			t.Fatalf("the read in flight: %v", err)
		}
		if _, err := table.Range(t.Context(), "t/p/a", "t/p/b", 1); err != nil {
			t.Errorf("a read after the answer: %v", err)
		}
	})
}
