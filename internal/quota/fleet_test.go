package quota

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// fleet is a set of nodes with one table, in the virtual time of a synctest bubble. The nodes run
// the real code; the connections between them and to the table fail as a test requires.
type fleet struct {
	tolerance    Tolerance
	nodes        []*fleetNode
	tableLatency time.Duration // of each call to the table

	mutex          sync.Mutex
	rows           map[string]tablestore.Row
	revision       uint64
	ran            runTimes
	refused        int
	ctx            context.Context
	cancel         context.CancelFunc
	tableDownUntil time.Time                 // no node reaches the table until then
	tamper         func(value []byte) []byte // changes the values written to rows; nil if unchanged
}

// fleetNode is one node with its injected faults. Each fault with a time lasts until then. Guarded
// by the fleet's mutex.
type fleetNode struct {
	fleet    *fleet
	address  string
	holdings *Holdings
	client   *Client
	leases   *LeaseManager
	stop     context.CancelFunc

	dead                  bool // its address refuses connections
	unreachable           bool // it does not respond
	pausedUntil           time.Time
	tableCutUntil         time.Time // it does not reach the table
	peersCutUntil         time.Time // it neither reaches peers nor is reached by them
	tableRepliesLostUntil time.Time // it gets no replies to its calls to the table
	sendsLostUntil        time.Time // nothing that it sends reaches peers
	isolatedUntil         time.Time // it reaches, and is reached by, only other isolated nodes
	isolationDetectedAt   time.Time // from then on it knows that it is isolated
	mayBeIsolatedUntil    time.Time // as far as it knows, responses of the other zones may be late or lost
}

// healthyTableLatency is the latency of a call to a healthy table.
const healthyTableLatency = 4 * time.Millisecond

var errUnreachable = errors.New("injected fault: unreachable")

// newFleet starts count nodes that know each other.
func newFleet(tolerance Tolerance, count int) *fleet {
	f := &fleet{tolerance: tolerance, tableLatency: healthyTableLatency, rows: make(map[string]tablestore.Row), revision: 10}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	var addresses []string
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("10.0.0.%d:7", i))
	}
	for _, address := range addresses {
		f.nodes = append(f.nodes, f.startNode(address, "run of "+address, addresses))
	}
	return f
}

// startNode starts a process of a node.
func (f *fleet) startNode(address, runID string, addresses []string) *fleetNode {
	n := &fleetNode{fleet: f, address: address, holdings: NewHoldings(f.tolerance, runID)}
	n.leases = NewLeaseManager(n.holdings, n, runID, n)
	n.leases.SetAddress(address)
	n.client = NewClient(Options{
		Tolerance: f.tolerance, Node: address, Holdings: n.holdings, Wake: n.leases.Wake, SamplePeers: n.leases.SamplePeers,
		Random: func() float64 { return 0.5 }, Observer: n, Isolated: n.isolated,
		MayBeIsolated: n.mayBeIsolated,
	})
	n.leases.SetProber(n.client)
	n.leases.SetEnabled(true)
	others := make([]string, 0, len(addresses))
	for _, other := range addresses {
		if other != address {
			others = append(others, other)
		}
	}
	n.leases.SetPeers(others)
	n.client.SetPeers(n, len(addresses))
	ctx, stop := context.WithCancel(f.ctx)
	n.stop = stop
	go n.leases.Run(ctx)
	return n
}

// shutdown ends all loops and waits until they have ended. It waits in virtual time, whose clock
// stops once the test's own goroutine has returned.
func (f *fleet) shutdown() {
	f.cancel()
	time.Sleep(10 * time.Second)
}

// send makes a node send perSecond requests per second of a tenant for a duration.
func (f *fleet) send(n *fleetNode, tenant string, limit Limit, perSecond float64, duration time.Duration) {
	go func() {
		pause := time.Duration(float64(time.Second) / perSecond)
		for until := time.Now().Add(duration); time.Now().Before(until); time.Sleep(pause) {
			if f.ctx.Err() != nil || n.waitWhilePaused() {
				return
			}
			go f.request(n, tenant, limit)
		}
	}()
}

func (f *fleet) request(n *fleetNode, tenant string, limit Limit) {
	decision := n.client.Admit(f.ctx, tenant, limit, false)
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case n.dead || n.unreachable:
	case decision.Outcome == Granted:
		f.ran = append(f.ran, time.Now())
	default:
		f.refused++
	}
}

// holder returns the node that the table names as the holder of a tenant's shard.
func (f *fleet) holder(tenant string) *fleetNode {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	row, _ := decodeRow(f.rows[rowKey(ShardOf(tenant))])
	for _, n := range f.nodes {
		if n.address == row.Address {
			return n
		}
	}
	return nil
}

// update changes the injected faults, under the mutex.
func (f *fleet) update(apply func()) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	apply()
}

// waitWhilePaused waits while the node is paused. It reports whether the node is gone.
func (n *fleetNode) waitWhilePaused() bool {
	for {
		n.fleet.mutex.Lock()
		gone, wait := n.dead || n.unreachable, time.Until(n.pausedUntil)
		n.fleet.mutex.Unlock()
		if gone || wait <= 0 {
			return gone
		}
		time.Sleep(wait)
	}
}

// reachTable takes the latency of a call to the table, and fails if the node does not reach it.
func (n *fleetNode) reachTable(ctx context.Context) error {
	gone := n.waitWhilePaused()
	n.fleet.mutex.Lock()
	latency := n.fleet.tableLatency
	n.fleet.mutex.Unlock()
	time.Sleep(latency)
	n.fleet.mutex.Lock()
	now := time.Now()
	unreachable := gone || now.Before(n.isolatedUntil) || now.Before(n.tableCutUntil) || now.Before(n.fleet.tableDownUntil)
	n.fleet.mutex.Unlock()
	if unreachable {
		<-ctx.Done()
		return errors.Mark(errUnreachable, tablestore.ErrUnknownOutcome)
	}
	return nil
}

// Commit implements tablestore.Table.
func (n *fleetNode) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if err := n.reachTable(ctx); err != nil {
		return tablestore.Receipt{}, err
	}
	f := n.fleet
	f.mutex.Lock()
	receipt, err := f.commit(transaction)
	lost := time.Now().Before(n.tableRepliesLostUntil)
	f.mutex.Unlock()
	if lost {
		<-ctx.Done()
		return tablestore.Receipt{}, errors.Mark(errUnreachable, tablestore.ErrUnknownOutcome)
	}
	n.waitWhilePaused()
	return receipt, err
}

// commit applies a transaction. The mutex is held.
func (f *fleet) commit(transaction tablestore.Transaction) (tablestore.Receipt, error) {
	for i, condition := range transaction.Conditions {
		if current := f.rows[condition.Key]; current.Revision != condition.Revision {
			return tablestore.Receipt{}, &tablestore.ConflictError{Index: i, Current: current}
		}
	}
	f.revision++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		if f.tamper != nil {
			write.Value = f.tamper(write.Value)
		}
		f.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: f.revision}
		receipt.Revisions[write.Key] = f.revision
	}
	return receipt, nil
}

// Range implements tablestore.Table.
func (n *fleetNode) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	if err := n.reachTable(ctx); err != nil {
		return tablestore.Page{}, err
	}
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	var rows []tablestore.Row
	for _, row := range n.fleet.rows {
		rows = append(rows, row)
	}
	return tablestore.Page{Rows: rows}, nil
}

// Get implements tablestore.Table.
func (n *fleetNode) Get(context.Context, string) (tablestore.Row, error) {
	return tablestore.Row{}, errors.New("not used")
}

// Do implements peerClient.
func (n *fleetNode) Do(ctx context.Context, address string, request *wirepb.Request, _ func(int64, []byte)) (*wirepb.Reply, error) {
	time.Sleep(2 * time.Millisecond)
	other := n.fleet.nodeAt(address)
	n.fleet.mutex.Lock()
	now := time.Now()
	unresponsive := other.unreachable || now.Before(other.peersCutUntil) || now.Before(n.peersCutUntil) || now.Before(n.sendsLostUntil)
	unresponsive = unresponsive || now.Before(n.isolatedUntil) != now.Before(other.isolatedUntil)
	refused := !unresponsive && other.dead
	n.fleet.mutex.Unlock()
	if refused {
		return nil, errRefused
	}
	if unresponsive {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	answered := make(chan *wirepb.Reply, 1)
	go func() {
		if !other.waitWhilePaused() {
			answered <- other.client.Answer(request.GetAskRequests())
		}
	}()
	select {
	case reply := <-answered:
		n.fleet.mutex.Lock()
		lost := time.Now().Before(other.sendsLostUntil)
		n.fleet.mutex.Unlock()
		if !lost {
			return reply, nil
		}
		<-ctx.Done()
	case <-ctx.Done():
	}
	return nil, ctx.Err()
}

// isolated stands in for the detection in internal/zonewatch.
func (n *fleetNode) isolated() bool {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	now := time.Now()
	return now.Before(n.isolatedUntil) && !now.Before(n.isolationDetectedAt)
}

// mayBeIsolated stands in for the detection in internal/zonewatch, too.
func (n *fleetNode) mayBeIsolated() bool {
	n.fleet.mutex.Lock()
	defer n.fleet.mutex.Unlock()
	return time.Now().Before(n.mayBeIsolatedUntil)
}

// nodeAt returns the node with an address.
func (f *fleet) nodeAt(address string) *fleetNode {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, n := range f.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// HolderLost implements Observer.
func (n *fleetNode) HolderLost(int, Holder, error) {}

// ShardTaken implements LeaseObserver.
func (n *fleetNode) ShardTaken(int, uint64, int) {}

// ShardLost implements LeaseObserver.
func (n *fleetNode) ShardLost(int, Holder) {}

// ShardUnreadable implements LeaseObserver.
func (n *fleetNode) ShardUnreadable(int, error) {}
