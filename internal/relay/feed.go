package relay

import (
	"context"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// rowsOf is what a watch comes to.
type rowsOf struct {
	changes []tablestore.Change
	version uint64
}

// Snapshot implements tablestore.Feed.
func (t *Table) Snapshot(ctx context.Context, table string) ([]tablestore.Change, uint64, error) {
	rows, err, stands := direct(ctx, t, silenceLimit, func(ctx context.Context) (rowsOf, error) {
		changes, version, err := t.feed.Snapshot(ctx, table)
		return rowsOf{changes, version}, err
	})
	if !stands {
		rows, err = t.askWatch(ctx, &wirepb.WatchTable{Table: table, Snapshot: true})
	}
	return rows.changes, rows.version, err
}

// Changes implements tablestore.Feed.
func (t *Table) Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]tablestore.Change, uint64, error) {
	rows, err, stands := direct(ctx, t, 0, func(ctx context.Context) (rowsOf, error) {
		changes, version, err := t.feed.Changes(ctx, table, after, wait)
		return rowsOf{changes, version}, err
	})
	if !stands {
		rows, err = t.askWatch(ctx, &wirepb.WatchTable{Table: table, After: after, WaitMillis: wait.Milliseconds()})
	}
	return rows.changes, rows.version, err
}

// askWatch has a peer read a table or watch it. The peer asks the service and not its
// own memory, so that what it tells is as new as what this node would have read.
func (t *Table) askWatch(ctx context.Context, watch *wirepb.WatchTable) (rowsOf, error) {
	request := &wirepb.Request{Body: &wirepb.Request_WatchTable{WatchTable: watch}}
	wait := time.Duration(watch.GetWaitMillis()) * time.Millisecond
	outcome, err := t.helpers.ask(ctx, request, wait, true)
	if err == nil {
		err = outcome.err()
	}
	if err != nil {
		return rowsOf{}, err
	}
	return rowsOf{outcome.Changes, outcome.Version}, nil
}
