package zonefeed

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits on answering other processes.
const (
	// maxAnswers is the maximum number of requests in progress: two for each process of a zone of
	// 500. Each has a goroutine.
	maxAnswers = 1_024
	// confirmTimeout is how long a request waits for the service to confirm that this process's data
	// is current, before it is declined or waits on: one poll of the service by a process that has
	// just become the watcher. It is less than idleTimeout, so that the client receives the reply.
	confirmTimeout = 700 * time.Millisecond
	// receivingKeepAlive is the time between two keep-alives to followers while a large answer of the service
	// arrives, or is late. It is less than the idle timeout of a follower that polls, which is 150 ms.
	receivingKeepAlive = 100 * time.Millisecond
	// maxUnconfirmedWait is how long a request waits without a confirmation while an answer of the service arrives
	// or is late. The shortest time in which a configuration has to be active is 3 s; half of it remains for the
	// follower to read the table from the service if only this process receives it slowly.
	maxUnconfirmedWait = 1500 * time.Millisecond
	// maxListsBytes is the maximum total size, as sent, of the snapshots that all processes of the zone may
	// request at the same moment, as they do after a start of all, or when the service truncates its history. On the
	// slowest link, 30 Mbit/s, that takes 1.1 s. Each process reads a larger table from the service.
	maxListsBytes = 4 << 20
)

// StopAccepting declines further requests of other processes, because this one is stopping, so that they
// choose another watcher before it exits. Requests in progress are still answered.
func (f *Feed) StopAccepting() { f.stopping.Store(true) }

// Answer returns to another process what changed, as the watcher of its zone. keepAlive sends an empty
// part ahead of the reply; it may block, and is not called after Answer has returned.
func (f *Feed) Answer(ctx context.Context, query *wirepb.FollowTable, keepAlive func()) *wirepb.Reply {
	if f.stopping.Load() {
		return f.decline("the process is stopping")
	}
	if query.GetAsKnown() {
		return f.answerAsKnown(query)
	}
	select {
	case f.slots <- struct{}{}:
		defer func() { <-f.slots }()
	default:
		return f.decline("as many processes are told as may be")
	}
	f.recordRequest()
	wait := min(followWait, time.Duration(query.GetWaitMillis())*time.Millisecond)
	end := time.NewTimer(wait)
	defer end.Stop()
	confirmTimer := time.NewTimer(f.confirmWait(query))
	defer confirmTimer.Stop()
	confirmedAt := time.Now()
	for woken, timedOut := false, false; ; {
		followed, current, updated := f.lookup(query, timedOut)
		switch {
		case current && followed != nil:
			f.answered.Add(1)
			return f.reply(query, followed)
		case current && woken:
			confirmedAt = time.Now()
			confirmTimer.Reset(confirmTimeout)
			keepAlive()
		}
		woken = false
		select {
		case <-updated:
			woken = true
		case <-end.C:
			timedOut = true
		case <-confirmTimer.C:
			if waited := time.Since(confirmedAt); waited > maxUnconfirmedWait || (waited >= confirmTimeout && !f.awaitsAnswer(query.GetTable(), timedOut)) {
				return f.decline("the table service has not answered of late")
			}
			keepAlive()
			confirmTimer.Reset(receivingKeepAlive)
		case <-ctx.Done():
			return &wirepb.Reply{Code: int32(api.NotReady), Execution: string(api.NotRun), Detail: "nobody waits"}
		}
	}
}

// confirmWait returns how long a request waits until its first keep-alive, if it is not answered before.
func (f *Feed) confirmWait(query *wirepb.FollowTable) time.Duration {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	switch {
	case f.isReceiving():
		return 0
	case query.GetSnapshot(), f.table(query.GetTable()).journal.listCount == 0:
		return receivingKeepAlive // the request makes this process read the table, if it does not do so already
	}
	return confirmTimeout
}

// awaitsAnswer reports whether a request for a table whose data is not current is to wait on: its call to the service is
// still in time, the table is being read for the first time, or an answer of the service is arriving. If all followers were declined meanwhile, each of them would read
// the same row over the same link. An answer for another table shows that the service is reachable over a busy link; that
// holds until the request's wait is over.
func (f *Feed) awaitsAnswer(name string, timedOut bool) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(name)
	return f.contact.awaitsCall(name, time.Now()) || entry.isFirstListPending() || entry.isReceiving() || (!timedOut && f.isReceiving())
}

// isReceiving reports whether an answer of the service for any table is arriving. The mutex is held.
func (f *Feed) isReceiving() bool {
	for _, entry := range f.tables {
		if entry.isReceiving() {
			return true
		}
	}
	return false
}

// recordRequest makes this process the watcher, because another process follows it.
func (f *Feed) recordRequest() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.choice.recordRequest(time.Now())
	f.stopFollowing()
}

// lookup returns the answer to a request, or nil if there is none yet and the wait has not timed out;
// whether this process's data is current; and a channel that is closed at the service's next answer.
// The version is read together with the rows up to it, so that no row is skipped.
func (f *Feed) lookup(query *wirepb.FollowTable, timedOut bool) (followed *wirepb.TableFollowed, current bool, updated <-chan struct{}) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	entry := f.table(query.GetTable())
	if entry.journal.listCount == 0 || !f.contact.isCurrent(query.GetTable(), time.Now()) {
		return nil, false, entry.updated
	}
	if query.GetSnapshot() && !query.GetReadsPacked() && entry.journal.size()*f.choice.peers > maxListsBytes {
		return &wirepb.TableFollowed{HistoryGone: true}, true, entry.updated
	}
	if query.GetSnapshot() {
		return f.encodeRows(&entry.journal, entry.journal.all()), true, entry.updated
	}
	rows, complete := entry.journal.after(query.GetAfter())
	switch {
	case !complete:
		followed = f.encodeRows(&entry.journal, nil)
		followed.HistoryGone = true
	case len(rows) > 0 || timedOut:
		followed = f.encodeRows(&entry.journal, rows)
	}
	return followed, true, entry.updated
}

// encodeRows returns rows as a message, with the journal's version. The mutex is held.
func (f *Feed) encodeRows(source *journal, rows []tablestore.Change) *wirepb.TableFollowed {
	followed := &wirepb.TableFollowed{Version: source.version, Run: f.options.RunID, List: source.listCount}
	for _, row := range rows {
		followed.Rows = append(followed.Rows, &wirepb.TableFollowed_Row{
			Key: row.Key, Value: row.Value, Revision: row.Revision, Gone: row.Gone,
		})
	}
	return followed
}

// reply encodes an answer. It compresses a large one if the client supports that.
func (f *Feed) reply(query *wirepb.FollowTable, followed *wirepb.TableFollowed) *wirepb.Reply {
	var body []byte
	var err error
	if query.GetReadsPacked() && rowBytes(followed.GetRows()) >= packFrom {
		f.mutex.Lock()
		cache, peers := &f.table(query.GetTable()).packCache, f.choice.peers
		f.mutex.Unlock()
		body, err = cache.reply(packKey{snapshot: query.GetSnapshot(), after: query.GetAfter(),
			version: followed.GetVersion(), list: followed.GetList()}, followed)
		if err == nil && query.GetSnapshot() && len(body)*peers > maxListsBytes {
			body, err = proto.Marshal(&wirepb.TableFollowed{HistoryGone: true})
		}
	} else {
		body, err = proto.Marshal(followed)
	}
	if err != nil {
		return f.decline(err.Error())
	}
	return &wirepb.Reply{Body: body}
}

// decline returns a reply without data.
func (f *Feed) decline(reason string) *wirepb.Reply {
	f.declined.Add(1)
	return &wirepb.Reply{Code: int32(api.NotReady), Execution: string(api.NotRun), Detail: reason}
}
