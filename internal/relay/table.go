// Package relay lets a node that has lost its way to the table service reach it
// through its peers. A peer makes the call as if it were its own and tells the
// outcome; conditions of writes hold as they would without it, so a relay adds
// no authority and needs no agreement. A peer passes nothing on to a third.
package relay

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Times of relayed calls.
const (
	directAgain = 500 * time.Millisecond // between two tries of the lost way
	peerTimeout = 250 * time.Millisecond // of one peer
	peersAgain  = 500 * time.Millisecond // after none of them had a way
	maxPeers    = 3                      // that one call is tried at
)

// Outcome is what a relayed call came to.
type Outcome struct {
	Receipt  tablestore.Receipt        `json:"receipt,omitzero"`
	Rows     []tablestore.Row          `json:"rows,omitempty"`
	Conflict *tablestore.ConflictError `json:"conflict,omitempty"`
	Failure  Failure                   `json:"failure,omitempty"`
	Detail   string                    `json:"detail,omitempty"`
}

// Failure names a failure of the table service across the wire.
type Failure string

// Failures.
const (
	Unreachable Failure = "unreachable" // from the peer, too
	Unavailable Failure = "unavailable"
	Throttled   Failure = "throttled"
	Rejected    Failure = "rejected"
	Unknown     Failure = "unknown"
)

// err translates an outcome back.
func (o Outcome) err() error {
	if o.Conflict != nil {
		return o.Conflict
	}
	switch o.Failure {
	case "":
		return nil
	case Unreachable, Unavailable:
		return errors.Mark(errors.Newf("by a peer: %s", o.Detail), tablestore.ErrUnavailable)
	case Throttled:
		return errors.Mark(errors.Newf("by a peer: %s", o.Detail), tablestore.ErrThrottled)
	case Rejected:
		return errors.Mark(errors.Newf("by a peer: %s", o.Detail), tablestore.ErrRejected)
	}
	return errors.Mark(errors.Newf("by a peer: %s", o.Detail), tablestore.ErrUnknownOutcome)
}

// failureOf names an error of the table service.
func failureOf(err error) Failure {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, tablestore.ErrUnknownOutcome):
		return Unknown
	case errors.Is(err, tablestore.ErrUnreachable):
		return Unreachable
	case errors.Is(err, tablestore.ErrThrottled):
		return Throttled
	case errors.Is(err, tablestore.ErrRejected):
		return Rejected
	case errors.Is(err, tablestore.ErrUnavailable):
		return Unavailable
	}
	return Unknown
}

// asker sends a request to a peer. *wire.Client implements it.
type asker interface {
	Do(ctx context.Context, address string, request *wirepb.Request, onPart func(offset int64, text []byte)) (*wirepb.Reply, error)
}

// Table is the table service, reached directly or through peers. It implements
// tablestore.Table. Safe for concurrent use.
type Table struct {
	direct tablestore.Table
	node   string

	mutex    sync.Mutex
	peers    []string // addresses, best first
	asker    asker    // nil before Enable
	lostAt   time.Time
	triedAt  time.Time // last direct call while the way is lost
	failedAt time.Time // when no peer had a way
	relayed  uint64
	observer func(lost bool, relayed uint64)
}

// NewTable returns a table that is reached directly only, until Enable. observer
// is called when the direct way is lost and found; it must not block.
func NewTable(direct tablestore.Table, node string, observer func(lost bool, relayed uint64)) *Table {
	return &Table{direct: direct, node: node, observer: observer}
}

// Enable lets calls go through peers, in this order.
func (t *Table) Enable(client asker, peers []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.asker, t.peers = client, peers
}

// Relayed returns how many calls peers made for this node.
func (t *Table) Relayed() uint64 {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.relayed
}

// Commit implements tablestore.Table.
func (t *Table) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	if t.mayTryDirect(time.Now()) {
		receipt, err := t.direct.Commit(ctx, transaction)
		switch {
		case !t.lost(err):
			return receipt, err
		case !errors.Is(err, tablestore.ErrUnavailable) && t.enabled():
			// It may have been done. Made again, it goes through a peer, who
			// is reachable; so nothing here says that the table is not.
			return receipt, errors.Mark(errors.Newf("the way to the table was lost: %v", err), tablestore.ErrUnknownOutcome)
		}
	}
	content, err := json.Marshal(transaction)
	if err != nil {
		return tablestore.Receipt{}, errors.Wrap(err, "encode transaction")
	}
	outcome, err := t.ask(ctx, &wirepb.Request{Body: &wirepb.Request_CommitTable{
		CommitTable: &wirepb.CommitTable{Transaction: content},
	}})
	if err != nil {
		return tablestore.Receipt{}, err
	}
	return outcome.Receipt, outcome.err()
}

// Range implements tablestore.Table.
func (t *Table) Range(ctx context.Context, start, end string, limit int) ([]tablestore.Row, error) {
	if t.mayTryDirect(time.Now()) {
		rows, err := t.direct.Range(ctx, start, end, limit)
		if !t.lost(err) {
			return rows, err
		}
	}
	outcome, err := t.ask(ctx, &wirepb.Request{Body: &wirepb.Request_RangeTable{
		RangeTable: &wirepb.RangeTable{Start: start, End: end, Limit: int64(limit)},
	}})
	if err != nil {
		return nil, err
	}
	return outcome.Rows, outcome.err()
}

// Get implements tablestore.Table.
func (t *Table) Get(ctx context.Context, key string) (tablestore.Row, error) {
	rows, err := t.Range(ctx, key, key+"\x00", 1)
	if err != nil || len(rows) == 0 {
		return tablestore.Row{Key: key}, err
	}
	return rows[0], nil
}

// mayTryDirect reports whether to try the direct way: always, until it is lost,
// and then now and again.
func (t *Table) mayTryDirect(now time.Time) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lostAt.IsZero() || t.asker == nil || len(t.peers) == 0 {
		return true
	}
	if now.Sub(t.triedAt) < directAgain {
		return false
	}
	t.triedAt = now
	return true
}

// lost takes notice of a direct call's end and reports whether the way is lost.
func (t *Table) lost(err error) bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	lost := errors.Is(err, tablestore.ErrUnreachable)
	was := !t.lostAt.IsZero()
	switch {
	case lost && !was:
		t.lostAt = time.Now()
		t.triedAt = t.lostAt
	case !lost && was && !errors.Is(err, context.DeadlineExceeded):
		t.lostAt = time.Time{}
	default:
		return lost
	}
	if t.observer != nil {
		t.observer(lost, t.relayed)
	}
	return lost
}

// enabled reports whether there are peers to ask.
func (t *Table) enabled() bool {
	client, peers := t.candidates()
	return client != nil && len(peers) > 0
}

// candidates returns the peers to ask, and with what.
func (t *Table) candidates() (asker, []string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.asker == nil || time.Since(t.failedAt) < peersAgain {
		return nil, nil
	}
	return t.asker, append([]string(nil), t.peers[:min(maxPeers, len(t.peers))]...)
}

// ask has peers make a call, one after another until one has an answer of the
// service. The error is marked ErrUnreachable if none has.
func (t *Table) ask(ctx context.Context, request *wirepb.Request) (Outcome, error) {
	client, peers := t.candidates()
	request.From = t.node
	last := errors.Newf("%d peers to ask now", len(peers))
	for _, peer := range peers {
		outcome, err := askOne(ctx, client, peer, request)
		switch {
		case err == nil && outcome.Failure != Unreachable:
			t.prefer(peer)
			return outcome, nil
		case err == nil:
			last = errors.Newf("peer %s: %s", peer, outcome.Detail)
		case !errors.Is(err, wire.ErrNotSent):
			t.demote(peer)
			return Outcome{}, errors.Mark(errors.Wrapf(err, "peer %s", peer), tablestore.ErrUnknownOutcome)
		default:
			last = err
		}
		t.demote(peer)
	}
	t.noPeers(len(peers))
	return Outcome{}, errors.Mark(errors.Mark(errors.Wrap(last, "no way to the table, nor through peers"),
		tablestore.ErrUnavailable), tablestore.ErrUnreachable)
}

// noPeers notes that none of the peers that were asked had a way, so that the next
// calls fail at once for a while.
func (t *Table) noPeers(asked int) {
	if asked == 0 {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.failedAt = time.Now()
}

// askOne has one peer make a call.
func askOne(ctx context.Context, client asker, peer string, request *wirepb.Request) (Outcome, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := client.Do(ctx, peer, request, nil)
	if err != nil {
		return Outcome{}, err
	}
	var outcome Outcome
	if err := json.Unmarshal(reply.GetBody(), &outcome); err != nil {
		return Outcome{}, errors.Mark(errors.Wrap(err, "reply of a peer"), wire.ErrLinkBroken)
	}
	return outcome, nil
}

// prefer counts a relayed call and puts its peer first.
func (t *Table) prefer(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.relayed++
	t.peers = moved(t.peers, peer, true)
}

// demote puts a peer last.
func (t *Table) demote(peer string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.peers = moved(t.peers, peer, false)
}

// moved returns a list with one entry moved to an end.
func moved(list []string, entry string, first bool) []string {
	rest := make([]string, 0, len(list))
	found := false
	for _, other := range list {
		if other == entry {
			found = true
			continue
		}
		rest = append(rest, other)
	}
	switch {
	case !found:
		return list
	case first:
		return append([]string{entry}, rest...)
	}
	return append(rest, entry)
}
