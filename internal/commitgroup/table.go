package commitgroup

import (
	"context"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/rendezvous"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Settings of the choice of writers.
const (
	// nodesPerWriter is how many nodes share one writer. One is enough for the writes of some thousand requests
	// per second; more writers send smaller groups.
	nodesPerWriter = 32
	// minProcessorShare is the smallest share of the processors of the zone's largest machine with which a node
	// may be a writer. On a small machine, each transaction takes several ms of its own.
	minProcessorShare = 0.5
	// maxWriters bounds the connections of a node to writers.
	maxWriters = 32
	// ackTimeout is how long to wait for the first acknowledgement or reply of a writer. A writer whose group
	// takes longer than ackAfter sends an acknowledgement: it is still working on the transaction.
	ackTimeout = 80 * time.Millisecond
	ackAfter   = 30 * time.Millisecond
	// defaultWait bounds the wait of a transaction whose caller sets no deadline.
	defaultWait = time.Second
)

// errNoAck is the cause of a request that was cancelled because the writer sent no acknowledgement in time.
var errNoAck = errors.New("no acknowledgement in time")

// peerClient sends a request to a peer. *wire.Client implements it.
type peerClient interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Observer is notified of events of writers and of the send rate. Its methods must not block.
type Observer interface {
	// WriterLost is called when a writer stops responding.
	WriterLost(address string, cause error)
	// WriterRegained is called when such a writer responds again.
	WriterRegained(address string)
	// WriteRateReduced is called when this node reduces its send rate because the service throttled a group.
	WriteRateReduced(groupsPerSecond float64)
	// OutcomeDropped is called for a malformed outcome of a writer, or a malformed transaction of a peer.
	OutcomeDropped(peer string, fault error)
}

// Options configure a Table.
type Options struct {
	Table          tablestore.Table // this node's direct path to the service
	Node           string
	AllowMultiPart bool        // whether one transaction may span several parts
	DirectPathLost func() bool // whether the node has lost its direct path to the service
	Observer       Observer
	// RegionOnly, if not nil, reports whether writes must not leave the region; if nil, they must not.
	RegionOnly func() bool
	// Suspected, if not nil, reports which nodes are skipped because their zone is suspected.
	Suspected func(address string) bool
	// OnCommit, if not nil, is called for each transaction that this node's group has committed, including those
	// of other nodes. It must not block.
	OnCommit func(tablestore.Transaction)
}

// Table commits through the writers of the node's zone, or directly if none of them responds. Reads go straight
// to the service. It implements tablestore.Table and is safe for concurrent use.
//
// If a writer does not respond, the node sends the transaction again itself; if a group gets no response, the
// group sends it again. A *tablestore.ConflictError may then be with the transaction itself: the caller has to
// recognise its own rows, as the ledger does.
type Table struct {
	tablestore.Table // for reads
	options          Options
	group            *Group
	peers            atomic.Pointer[peers]
	stopping         atomic.Bool
	times            atomic.Pointer[partTimes]

	forwarded    atomic.Uint64
	unresponsive atomic.Uint64
	declined     atomic.Uint64
}

// Node is a node that may write for others.
type Node struct {
	Address    string
	Processors float64 // of its machine, in cores; 0 if unknown
}

// peers are the nodes among which writers are chosen.
type peers struct {
	client     peerClient
	self       string
	zone       writerSet            // of this node's zone
	otherZones map[string]writerSet // of other zones of the region, by zone name
	// region holds the nodes of all these zones, allRegions also those of other regions. Each part has one writer
	// in each of the two.
	region, allRegions writerSet
}

// writerSet is a set of nodes that share writers, such as those of one zone.
type writerSet struct {
	selector *rendezvous.Selector // of the nodes that may be writers
	nodes    []Node               // all nodes
}

// newWriterSet returns a writerSet of the given nodes. It reuses an existing selector, which keeps its record of
// unresponsive nodes.
func (t *Table) newWriterSet(selector *rendezvous.Selector, nodes []Node) writerSet {
	if selector == nil {
		selector = rendezvous.New(maxWriters)
		selector.SetExcluded(t.options.Suspected)
	}
	selector.Set(eligibleWriters(nodes))
	return writerSet{selector: selector, nodes: nodes}
}

// has reports whether the node belongs to the set.
func (w writerSet) has(address string) bool {
	return slices.ContainsFunc(w.nodes, func(node Node) bool { return node.Address == address })
}

// candidates returns the writers of a part, in order of preference.
func (w writerSet) candidates(part string, now time.Time) []string {
	groups := max(1, (len(w.nodes)+nodesPerWriter-1)/nodesPerWriter)
	slot := xxhash.Sum64String(part) % uint64(groups)
	return w.selector.Candidates("writer-"+strconv.FormatUint(slot, 10), now)
}

// NewTable returns a table that commits this node's transactions in its own groups until SetPeers is called.
func NewTable(options Options) *Table {
	t := &Table{
		Table:   options.Table,
		options: options,
		group:   NewGroup(options.Table, options.AllowMultiPart, options.Observer.WriteRateReduced),
	}
	t.group.onCommit = options.OnCommit
	t.times.Store(&partTimes{})
	return t
}

// SetPeers replaces the nodes among which writers are chosen. nodes are this node and the others of its zone, so
// that writes usually reach a writer without crossing zones. otherZones are the nodes of the other zones of the
// region, by zone name, which have writers of their own. otherRegions are the nodes of other regions.
func (t *Table) SetPeers(client peerClient, self string, nodes []Node, otherZones map[string][]Node, otherRegions []Node) {
	next := &peers{client: client, self: self, otherZones: make(map[string]writerSet, len(otherZones))}
	old := t.peers.Load()
	if old == nil || old.self != self {
		old = &peers{}
	}
	next.zone = t.newWriterSet(old.zone.selector, nodes)
	region := slices.Clone(nodes)
	for zone, zoneNodes := range otherZones {
		next.otherZones[zone] = t.newWriterSet(old.otherZones[zone].selector, zoneNodes)
		region = append(region, zoneNodes...)
	}
	next.region = t.newWriterSet(old.region.selector, region)
	next.allRegions = t.newWriterSet(old.allRegions.selector, append(region, otherRegions...))
	t.peers.Store(next)
}

// eligibleWriters returns the addresses of the nodes that may write for others: those with at least
// minProcessorShare of the processors of the largest. Nodes with the same list get the same result.
func eligibleWriters(nodes []Node) []string {
	largest := 0.0
	for _, node := range nodes {
		largest = max(largest, node.Processors)
	}
	var addresses []string
	for _, node := range nodes {
		if node.Processors >= largest*minProcessorShare {
			addresses = append(addresses, node.Address)
		}
	}
	return addresses
}

// writers returns the nodes to which a part's transactions are forwarded, in order of preference, up to this node.
func (p *peers) writers(part string, now time.Time) []string {
	return p.upToSelf(p.zone.candidates(part, now))
}

// suspectPartWriter marks a node as unresponsive among the writers of single parts, so that it is skipped until
// the suspicion expires.
func (p *peers) suspectPartWriter(address string, now time.Time) {
	p.region.selector.Suspect(address, now)
	p.allRegions.selector.Suspect(address, now)
}

// upToSelf returns the addresses that precede this node's.
func (p *peers) upToSelf(addresses []string) []string {
	if own := slices.Index(addresses, p.self); own >= 0 {
		return addresses[:own]
	}
	return addresses
}

// WritersOf returns the nodes through which writes of a key may go, those of this node's zone first, without this
// node.
func (t *Table) WritersOf(key string) []string {
	peerSet := t.peers.Load()
	if peerSet == nil {
		return nil
	}
	part, now := partOf(key), time.Now()
	var addresses []string
	if t.isSlow() {
		addresses = first(t.partWriters(peerSet, part, now))
	}
	addresses = append(addresses, peerSet.writers(part, now)...)
	for _, zone := range peerSet.otherZones {
		addresses = append(addresses, first(zone.candidates(part, now))...)
	}
	return addresses
}

// ReportUnresponsive marks a writer that did not respond, so that it is skipped until the suspicion expires.
func (t *Table) ReportUnresponsive(address string, cause error) {
	peerSet := t.peers.Load()
	if peerSet == nil {
		return
	}
	if peerSet.zone.has(address) {
		t.suspect(peerSet, address, cause)
	}
	peerSet.suspectPartWriter(address, time.Now())
	for _, zone := range peerSet.otherZones {
		if zone.has(address) {
			zone.selector.Suspect(address, time.Now())
		}
	}
}

// first returns the first address, or none if there is none.
func first(addresses []string) []string { return addresses[:min(1, len(addresses))] }

// Commit implements tablestore.Table.
func (t *Table) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	peerSet := t.peers.Load()
	if peerSet == nil || newMember(transaction) == nil {
		return t.group.Commit(ctx, transaction)
	}
	end := t.measureTime(partOf(transaction.Writes[0].Key))
	receipt, err := t.commitThroughWriters(ctx, peerSet, transaction)
	end(err)
	return receipt, err
}

// commitThroughWriters commits through the first writer that responds, or directly.
func (t *Table) commitThroughWriters(ctx context.Context, peerSet *peers, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	for _, address := range t.currentWriters(peerSet, partOf(transaction.Writes[0].Key)) {
		receipt, err := t.forward(ctx, peerSet, address, transaction)
		switch {
		case errors.Is(err, errNotAccepted):
			continue
		case errors.Is(err, errNoAck):
			return t.resend(ctx, transaction, err)
		case errors.Is(err, errByWriter) && errors.Is(err, tablestore.ErrUnavailable):
			return t.group.Commit(ctx, transaction) // the service may reject this writer only
		}
		return receipt, err
	}
	return t.group.Commit(ctx, transaction)
}

// errByWriter marks failures that a writer reported.
var errByWriter = errors.New("failure at the writer")

// errNotAccepted means that the writer has certainly not started to commit the transaction.
var errNotAccepted = errors.New("transaction not accepted by the writer")

// resend commits a transaction that a writer may have applied. It is conditional on what it writes, so that it is
// applied at most once.
func (t *Table) resend(ctx context.Context, transaction tablestore.Transaction, cause error) (tablestore.Receipt, error) {
	if ctx.Err() != nil {
		return tablestore.Receipt{}, errors.Mark(cause, tablestore.ErrUnknownOutcome)
	}
	receipt, err := t.group.Commit(ctx, transaction)
	var conflict *tablestore.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return receipt, err
	}
	return receipt, errors.Mark(errors.Newf("after an unresponsive writer: %v", err), tablestore.ErrUnknownOutcome)
}

// forward has a writer commit a transaction. Errors in addition to those of tablestore.Table: errNotAccepted, and
// errNoAck if the writer may have committed it.
func (t *Table) forward(ctx context.Context, peerSet *peers, address string, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	wait := defaultWait
	if deadline, bounded := ctx.Deadline(); bounded {
		wait = time.Until(deadline)
	}
	if wait <= 0 {
		return tablestore.Receipt{}, errors.Mark(context.DeadlineExceeded, tablestore.ErrUnavailable)
	}
	t.forwarded.Add(1)
	reply, err := exchange(ctx, peerSet.client, address, t.currentAckTimeout(), &wirepb.Request{
		From: t.options.Node,
		Body: &wirepb.Request_CommitTable{CommitTable: &wirepb.CommitTable{Grouped: encode(transaction, wait)}},
	})
	switch {
	case err != nil && ctx.Err() != nil && !errors.Is(err, wire.ErrNotSent):
		return tablestore.Receipt{}, errors.Mark(err, tablestore.ErrUnknownOutcome) // the caller cancelled
	case err != nil:
		return tablestore.Receipt{}, t.recordUnresponsive(peerSet, address, err)
	case reply.GetCode() != 0 && api.Execution(reply.GetExecution()) != api.NotRun:
		return tablestore.Receipt{}, t.recordUnresponsive(peerSet, address, errors.Newf("code %d: %s", reply.GetCode(), reply.GetDetail()))
	case reply.GetCode() != 0:
		t.declined.Add(1)
		t.suspect(peerSet, address, errors.New(reply.GetDetail()))
		return tablestore.Receipt{}, errNotAccepted
	}
	receipt, err := decodeOutcome(transaction, reply.GetBody())
	if errors.Is(err, errMalformedOutcome) {
		t.options.Observer.OutcomeDropped(address, err)
		return tablestore.Receipt{}, t.recordUnresponsive(peerSet, address, err)
	}
	t.trust(peerSet, address)
	return receipt, err
}

// recordUnresponsive marks a writer as unresponsive, so that it is skipped until the suspicion expires, and returns the
// error for the transaction.
func (t *Table) recordUnresponsive(peerSet *peers, address string, err error) error {
	t.unresponsive.Add(1)
	t.suspect(peerSet, address, err)
	if errors.Is(err, wire.ErrNotSent) {
		return errNotAccepted
	}
	return errors.Mark(err, errNoAck)
}

func (t *Table) suspect(peerSet *peers, address string, cause error) {
	peerSet.suspectPartWriter(address, time.Now())
	if peerSet.zone.selector.Suspect(address, time.Now()) {
		t.options.Observer.WriterLost(address, cause)
	}
}

func (t *Table) trust(peerSet *peers, address string) {
	peerSet.region.selector.ClearSuspicion(address)
	peerSet.allRegions.selector.ClearSuspicion(address)
	if peerSet.zone.selector.ClearSuspicion(address) {
		t.options.Observer.WriterRegained(address)
	}
}

// exchange sends a request to a writer. It cancels the request with errNoAck if neither an acknowledgement nor a
// reply arrives within ackTimeout. The second acknowledgement means that the writer sends the transaction to the
// service.
func exchange(ctx context.Context, client peerClient, address string, ackTimeout time.Duration, request *wirepb.Request) (*wirepb.Reply, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	ackTimer := time.AfterFunc(ackTimeout, func() { cancel(errNoAck) })
	defer ackTimer.Stop()
	acks := 0
	return client.Do(ctx, address, request, func(int64, []byte) {
		ackTimer.Stop()
		if acks++; acks == 2 {
			tablestore.ReportSent(ctx)
		}
	})
}

// ForwardCounts returns how many transactions were forwarded to writers, how many of these got no usable response, and
// how many were declined.
func (t *Table) ForwardCounts() (forwarded, unresponsive, declined uint64) {
	return t.forwarded.Load(), t.unresponsive.Load(), t.declined.Load()
}

// Stats returns the counters of the node's own groups.
func (t *Table) Stats() Stats { return t.group.Stats() }
