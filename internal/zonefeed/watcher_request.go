package zonefeed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Timeouts of a follower.
const (
	// followWait is how long one request waits for changes. Together with idleTimeout it stays below
	// the 2.4 s that discovery allows for one call, which leaves time to call the service.
	followWait = 1200 * time.Millisecond
	// idleTimeout is the maximum time without data from a watcher. A watcher sends a keep-alive with
	// each answer of the service, so every pauseAfterChanges plus watchWait plus the answer's latency.
	idleTimeout = 900 * time.Millisecond
	// snapshotIdleTimeout is idleTimeout for a request for a whole table. A watcher replies, declines, or sends a
	// keep-alive each receivingKeepAlive. Waiting longer for one that is silent would delay the start of a process.
	snapshotIdleTimeout = 3 * receivingKeepAlive
	// minSnapshotTime is the shortest idle timeout with which a whole table is requested: one keep-alive must be able to arrive.
	minSnapshotTime = receivingKeepAlive * 3 / 2
	// maxServiceLatency is the maximum latency of the service that the platform announces.
	// reservedForService is the time reserved for a call to the service when a watcher did not respond.
	maxServiceLatency  = 200 * time.Millisecond
	reservedForService = maxServiceLatency + 50*time.Millisecond
)

// Errors for which the service is used instead of the watcher.
var (
	errUnresponsive = errors.New("the watcher of the zone did not respond")
	errDeclined     = errors.New("the watcher of the zone declined the request")
	errTooLarge     = errors.New("the table is too large for the watcher of the zone to send as a whole")
	errMalformed    = errors.New("the watcher's reply is malformed")
	errReadDirectly = errors.New("no watcher of the zone sends the table")
	errNoTimeLeft   = errors.New("too little time is left to request the table from a watcher")
)

// update is what a watcher, or the service, reports of a table.
type update struct {
	rows        []tablestore.Change
	version     uint64
	basis       basis
	historyGone bool // the changes cannot be listed
}

// requestWatcher sends a request to the watcher. A watcher that does not answer, or sends nothing for
// idleTimeout, is skipped temporarily. following ends when this process becomes the watcher.
func (f *Feed) requestWatcher(ctx context.Context, following context.Context, watcher string, query *wirepb.FollowTable) (update, error) {
	f.requests.Add(1)
	limit := idleTimeoutWithin(ctx, query)
	ctx, cancel := progress.WithLimits(ctx, progress.Limits{First: limit, Idle: limit, Total: followWait + maxAnswerTime})
	defer cancel()
	defer context.AfterFunc(following, cancel)()
	f.mutex.Lock()
	client := f.watcherClient
	f.mutex.Unlock()
	request := &wirepb.Request{From: f.options.Node, Body: &wirepb.Request_FollowTable{FollowTable: query}}
	reply, err := client.Do(ctx, watcher, request, func(int64, []byte) { progress.Report(ctx) })
	var answer update
	switch {
	case err != nil && errors.Is(context.Cause(ctx), progress.ErrStalled):
		err = errors.CombineErrors(errUnresponsive, err)
	case err != nil && ctx.Err() != nil:
		err = errors.CombineErrors(ctx.Err(), err)
	case err == nil && api.Code(reply.GetCode()) != api.OK:
		err = errors.Wrap(errDeclined, reply.GetDetail())
	case err == nil:
		answer, err = decode(query, reply.GetBody())
	}
	f.recordResult(watcher, err)
	return answer, err
}

// idleTimeoutWithin returns the maximum time without data from a watcher, which may say nothing for as long as the request
// waits for changes. Of the time that the caller has beyond the wait, it leaves a quarter, and at least
// reservedForService, for a call to the service.
func idleTimeoutWithin(ctx context.Context, query *wirepb.FollowTable) time.Duration {
	longest := idleTimeout
	if query.GetSnapshot() {
		longest = snapshotIdleTimeout
	}
	deadline, hasDeadline := ctx.Deadline()
	if !hasDeadline {
		return longest
	}
	wait := time.Duration(query.GetWaitMillis()) * time.Millisecond
	spare := time.Until(deadline) - wait
	return min(longest, wait+max(0, min(spare*3/4, spare-reservedForService)))
}

// recordResult records the result of a request to a watcher.
func (f *Feed) recordResult(watcher string, err error) {
	switch {
	case errors.Is(err, context.Canceled), errors.Is(err, context.DeadlineExceeded):
		return // not caused by the watcher
	case errors.Is(err, errMalformed):
		f.options.Observer.InvalidWatchReply(watcher, err)
	}
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures.Watcher = reasonOf(err)
	if err == nil || errors.Is(err, errTooLarge) {
		f.choice.selector.ClearSuspicion(watcher)
		return
	}
	f.failedRequests.Add(1)
	f.choice.selector.Suspect(watcher, time.Now())
	f.cause = err
}

// decode decodes a watcher's reply. It returns errMalformed if the reply is invalid.
func decode(query *wirepb.FollowTable, body []byte) (update, error) {
	var followed wirepb.TableFollowed
	if err := proto.Unmarshal(body, &followed); err != nil {
		return update{}, errors.Mark(errors.Wrap(err, "decode a watcher's reply"), errMalformed)
	}
	if err := unpack(&followed); err != nil {
		return update{}, errors.Mark(errors.Wrap(err, "decode a watcher's reply"), errMalformed)
	}
	answer := update{
		rows:        make([]tablestore.Change, 0, len(followed.GetRows())),
		version:     followed.GetVersion(),
		basis:       basis{run: followed.GetRun(), list: followed.GetList()},
		historyGone: followed.GetHistoryGone(),
	}
	if answer.historyGone && !query.GetSnapshot() {
		return answer, nil
	}
	if answer.historyGone {
		return update{}, errTooLarge
	}
	if answer.version == 0 {
		return update{}, errors.Wrapf(errMalformed, "version %d", answer.version)
	}
	for _, row := range followed.GetRows() {
		stale := !query.GetSnapshot() && row.GetRevision() <= query.GetAfter()
		if row.GetKey() == "" || stale {
			return update{}, errors.Wrapf(errMalformed, "a row of revision %d after version %d",
				row.GetRevision(), query.GetAfter())
		}
		answer.rows = append(answer.rows, tablestore.Change{
			Row:  tablestore.Row{Key: row.GetKey(), Value: row.GetValue(), Revision: row.GetRevision()},
			Gone: row.GetGone(),
		})
	}
	return answer, nil
}
