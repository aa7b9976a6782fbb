package relay

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// watchResult holds the rows that a snapshot or a watch returned, and their version.
type watchResult struct {
	changes []tablestore.Change
	version uint64
}

// Snapshot implements tablestore.Feed.
func (t *Table) Snapshot(ctx context.Context, table string) ([]tablestore.Change, uint64, error) {
	result, err, final := callDirect(ctx, t, unansweredLimit, func(ctx context.Context) (watchResult, error) {
		changes, version, err := t.feed.Snapshot(ctx, table)
		return watchResult{changes, version}, err
	})
	if !final {
		result, err = t.watchThroughPeer(ctx, &wirepb.WatchTable{Table: table, Snapshot: true})
	}
	return result.changes, result.version, err
}

// Changes implements tablestore.Feed.
func (t *Table) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	result, err, final := callDirect(ctx, t, 0, func(ctx context.Context) (watchResult, error) {
		changes, version, err := t.feed.Changes(ctx, table, after, wait)
		return watchResult{changes, version}, err
	})
	if !final {
		result, err = t.watchThroughPeer(ctx, &wirepb.WatchTable{Table: table, After: after, WaitMillis: wait.Milliseconds()})
	}
	return result.changes, result.version, err
}

// watchThroughPeer reads or watches a table through a peer. The peer queries the table service and not its
// own cache, so that its answer is as current as this node's own read would be.
func (t *Table) watchThroughPeer(ctx context.Context, watch *wirepb.WatchTable) (watchResult, error) {
	request := &wirepb.Request{Body: &wirepb.Request_WatchTable{WatchTable: watch}}
	wait := time.Duration(watch.GetWaitMillis()) * time.Millisecond
	outcome, err := t.pool.call(ctx, request, wait, true)
	if err == nil {
		err = outcome.err()
	}
	if err != nil {
		return watchResult{}, err
	}
	return watchResult{outcome.Changes, outcome.Version}, nil
}
