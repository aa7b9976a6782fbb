package zonefeed

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/progress"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Settings of requests to other processes for newer versions, when neither the watcher of the zone nor the service
// responds.
const (
	// catchUpTime is the timeout of such a request: a round trip between regions takes 24 ms, and a reply of
	// 30 KB 10 ms more on the slowest link. It is not part of the time of the call that failed, which is over
	// by then.
	catchUpTime = 300 * time.Millisecond
	// nearerWait is how long to wait for a nearer process once one has reported a newer version.
	nearerWait = 30 * time.Millisecond
	// widenAfter is the time after which further processes are queried while some of those queried have not
	// answered. Processes that run and are reachable answer within it, those of another region too.
	widenAfter = 60 * time.Millisecond
	// stableAfter is how long after a snapshot, or after the service truncated its history, a process does not
	// return unconfirmed data to others: stale snapshots are corrected after 3.5 s.
	stableAfter = 5 * time.Second
)

// SetFallbackPeers sets the processes to query for newer versions while neither the watcher nor the service
// responds, and the client to query them with.
func (f *Feed) SetFallbackPeers(client peerClient, neighbours Neighbours) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.fallbackClient = client
	f.fallbackPeers.set(neighbours)
}

// catchUp queries some processes for their version of a table, and fetches the changes from the nearest that has a
// newer one. It reports whether there was any. The result is not confirmed: a still newer version may exist. Rows are
// fetched from one process only, since they may be large.
func (f *Feed) catchUp(ctx context.Context, name string, after uint64) (update, bool) {
	f.mutex.Lock()
	client := f.fallbackClient
	f.mutex.Unlock()
	if client == nil {
		return update{}, false
	}
	address, found := f.nearestNewer(ctx, client, name, after)
	if !found {
		return update{}, false
	}
	ctx, cancel := f.detachedContext(ctx, catchUpTime)
	defer cancel()
	learned, err := f.queryPeer(ctx, client, address, &wirepb.FollowTable{Table: name, After: after, AsKnown: true, ReadsPacked: true})
	if err != nil {
		f.recordNeighbourFailure(err)
		return update{}, false
	}
	return learned, f.applyPeerUpdate(address, name, after, learned)
}

// nearestNewer queries processes for their version, and returns the nearest one that has a newer version, among those
// that have answered nearerWait after the first report of a newer version. While some of those queried do not answer,
// it queries others: a process that is partitioned from most has to find one that it can reach.
func (f *Feed) nearestNewer(ctx context.Context, client peerClient, name string, after uint64) (string, bool) {
	ctx, cancel := f.detachedContext(ctx, catchUpTime)
	defer cancel()
	versions := &search{feed: f, client: client, query: &wirepb.FollowTable{Table: name, After: after, AsKnown: true, VersionOnly: true}}
	versions.queryMore(ctx)
	widen := time.NewTicker(widenAfter)
	defer widen.Stop()
	var nearerDeadline <-chan time.Time
	for versions.awaitsReplies(ctx) {
		select {
		case reply := <-versions.replies:
			if versions.recordReply(reply) && nearerDeadline == nil {
				nearerDeadline = time.After(nearerWait)
			}
		case <-widen.C:
			if nearerDeadline == nil {
				versions.queryMore(ctx)
			}
		case <-nearerDeadline:
			return versions.best.address, true
		}
	}
	f.recordNeighbourFailure(versions.failure)
	return versions.best.address, versions.best.version > after
}

// detachedContext returns a context for a request with a timeout of its own, because the time of the caller's call is
// over, or nearly over. It ends with the feed.
func (f *Feed) detachedContext(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := progress.WithLimits(context.WithoutCancel(ctx), progress.Limits{First: limit, Idle: limit, Total: maxAnswerTime})
	stop := context.AfterFunc(f.closing, cancel)
	return ctx, func() { stop(); cancel() }
}

// queryPeer requests the data of one process as it is, without confirmation by the service.
func (f *Feed) queryPeer(ctx context.Context, client peerClient, address string, query *wirepb.FollowTable) (update, error) {
	reply, err := client.Do(ctx, address, &wirepb.Request{From: f.options.Node, Body: &wirepb.Request_FollowTable{FollowTable: query}}, nil)
	switch {
	case err != nil:
		return update{}, errors.Wrapf(err, "peer %s", address)
	case api.Code(reply.GetCode()) != api.OK:
		return update{}, errors.Wrapf(errDeclined, "peer %s: %s", address, reply.GetDetail())
	}
	answer, err := decode(query, reply.GetBody())
	if err != nil {
		f.options.Observer.InvalidWatchReply(address, err)
	}
	return answer, err
}

// recordNewest records a version that another process reported, if it is the newest so far.
func (f *Feed) recordNewest(name string, version uint64) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(name)
	entry.newest = max(entry.newest, version)
}

// recordNeighbourFailure records why no process returned anything newer; nil if none had anything newer.
func (f *Feed) recordNeighbourFailure(err error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures.Neighbours = reasonOf(err)
}

// applyPeerUpdate applies a process's answer for a table, and reports whether it is newer than a version. Rows and
// version belong together: the other process has every change up to its version.
func (f *Feed) applyPeerUpdate(from, name string, after uint64, answer update) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failures.Neighbours = ""
	if answer.historyGone || answer.version <= after || len(answer.rows) == 0 {
		return false
	}
	f.peerUpdates.Add(1)
	f.fallbackPeers.recordUpdate(from)
	f.table(name).journal.applyChanges(answer.rows, answer.version)
	return true
}

// answerAsKnown answers a process that reaches neither its watcher nor the service, with unconfirmed data.
func (f *Feed) answerAsKnown(query *wirepb.FollowTable) *wirepb.Reply {
	f.mutex.Lock()
	entry := f.table(query.GetTable())
	rows, complete := entry.journal.after(query.GetAfter())
	if entry.journal.listCount == 0 || !complete || time.Now().Before(entry.stableAt) {
		f.mutex.Unlock()
		return f.decline("nothing is known for sure of what changed")
	}
	followed := f.encodeRows(&entry.journal, rows)
	f.mutex.Unlock()
	if query.GetVersionOnly() {
		followed.Rows = nil
		followed.Version = query.GetAfter()
		if len(rows) > 0 {
			followed.Version = rows[len(rows)-1].Revision
		}
	}
	f.answered.Add(1)
	return f.reply(query, followed)
}

// NewestVersion returns the newest version of a row that another process has reported in answer to a query.
func (f *Feed) NewestVersion(table string) uint64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.table(table).newest
}

// unconfirmed returns the error for rows from another process, with the reason why the service does not confirm them.
func unconfirmed(cause error) error {
	return errors.Mark(errors.Wrap(cause, "received from another process"), tablestore.ErrUnconfirmed)
}
