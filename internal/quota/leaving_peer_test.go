package quota

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// drainingPeer rejects all requests, because it is about to end.
type drainingPeer struct{}

func (drainingPeer) Do(context.Context, string, *wirepb.Request, func(int64, []byte)) (*wirepb.Reply, error) {
	return nil, errors.Mark(wire.ErrPeerDraining, wire.ErrNotSent)
}

// TestDrainingHolderIsTreatedAsEnded has a holder reject a request at the end of its planned stop: the shard is free,
// waiting requests are kept for the next holder, and the requesting node counts as reaching a peer.
func TestDrainingHolderIsTreatedAsEnded(t *testing.T) {
	holdings := NewHoldings(DefaultTolerance, "run")
	holdings.each(func(_ int, l *lease) {
		l.observe(Row{Holder: Holder{Address: "10.0.0.1:7", RunID: "another", Term: 3}, Revision: 9}, time.Now())
	})
	leases := NewLeaseManager(holdings, nil, "run", nil)
	client := NewClient(Options{
		Tolerance: DefaultTolerance, Holdings: holdings, Wake: leases.Wake, Observer: discardObserver{},
		SamplePeers: func(int) []string { return []string{"10.0.0.1:7"} },
	})
	client.SetPeers(drainingPeer{}, 2)
	_, err := client.requestTokens(tenant, Request{Needed: 1}, requestTimeout, func(Grant) {})
	if err == nil || !client.awaitsHolder(tenant, err) {
		t.Errorf("the next holder is not awaited after: %v", err)
	}
	if !client.ReachesPeer() {
		t.Error("a draining peer does not count as reached")
	}
}

type discardObserver struct{}

func (discardObserver) HolderLost(int, Holder, error) {}
