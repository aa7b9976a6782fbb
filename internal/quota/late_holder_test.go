package quota

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// latePeers is a node's client while everything that other nodes send to it waits in a queue on the link between two regions.
type latePeers struct {
	*fleetNode
	until time.Time
	delay time.Duration
}

// Do implements peerClient.
func (p latePeers) Do(ctx context.Context, address string, request *wirepb.Request, onPart func(int64, []byte)) (*wirepb.Reply, error) {
	reply, err := p.fleetNode.Do(ctx, address, request, onPart)
	if time.Now().Before(p.until) {
		select {
		case <-time.After(p.delay): // virtual
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return reply, err
}

// TestALateHolderCostsNoRefusal delays what a node hears of the others for two seconds, as behind a large answer on the link
// to the region of the holder. It sends a tenant's requests, five a second, far within its limit.
func TestALateHolderCostsNoRefusal(t *testing.T) {
	limit := Limit{Rate: 100, Burst: 500, Version: 1}
	for _, delay := range []time.Duration{100, 200, 400} {
		delay *= time.Millisecond
		t.Run(delay.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := newFleet(DefaultTolerance, 12)
				defer f.shutdown()
				time.Sleep(settleTime)
				f.request(f.nodes[0], tenant, limit) // makes a node take the shard
				requester := f.nodes[0]
				if requester == f.holder(tenant) {
					requester = f.nodes[1]
				}
				f.request(requester, tenant, limit)
				time.Sleep(3 * time.Second)
				requester.client.SetPeers(latePeers{requester, time.Now().Add(2 * time.Second), delay}, len(f.nodes))
				for range 10 {
					f.request(requester, tenant, limit)
					time.Sleep(200 * time.Millisecond)
				}
				if f.refused > 0 {
					t.Errorf("%d of 10 requests of a tenant within its limit were refused", f.refused)
				}
			})
		})
	}
}
