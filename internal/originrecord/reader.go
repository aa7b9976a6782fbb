package originrecord

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Times and limits of reading rows.
const (
	// findTimeout is how long a stream that is resumed waits for the rows.
	findTimeout = 250 * time.Millisecond
	// reuseFor is how long after a read began other streams that its rows do not name use its result.
	reuseFor = 300 * time.Millisecond
	// firstReadRetry and lastReadRetry bound the time from a failed read to the next, so that a stream that waits sees one.
	firstReadRetry = 50 * time.Millisecond
	lastReadRetry  = 200 * time.Millisecond
	// maxResumeAge is the maximum age of a read that failed at one page and goes on there. What it has read of ended processes
	// does not change.
	maxResumeAge = 5 * time.Second
	// maxFleetReads is how many reading calls a second all processes make at most, after the first read of each: less than a third of
	// what the store of a small deployment accepts.
	maxFleetReads = 600
	// pageRows is the maximum number of rows per page.
	pageRows = 500
)

// errNotRead reports that a stream did not wait longer for the rows.
var errNotRead = errors.New("the origins of streams were not read in time")

// reader reads the rows of all processes. All streams that wait share one read. Safe for concurrent use.
type reader struct {
	options   Options
	reads     atomic.Uint64 // begun
	sawOthers atomic.Bool   // a read returned rows

	mutex    sync.Mutex
	running  *read     // nil if there is none
	latest   *read     // the last one if it succeeded; nil once the next one may begin
	failed   *read     // the last one if it failed
	next     time.Time // no read begins before
	failures int       // in a row
}

// read is one read of all rows.
type read struct {
	begun time.Time
	done  chan struct{} // closed at its end; the rest is valid after that
	index index         // unless err is set
	rows  int
	calls int
	err   error
	from  string // key of the page that is to be read next
}

// Find returns the origin of a stream by the rows of the store, and false if no row names it, or if rows contradict each
// other. With an error, the rows are unknown. A failed read is repeated while the stream waits.
func (k *Keeper) Find(ctx context.Context, stream string) (origins.Origin, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	cause := errNotRead
	for {
		if origin, found, known := k.reader.findInLatest(stream); known {
			return origin, found, nil
		}
		shared, wait := k.reader.join()
		if shared == nil {
			if !backoff.Wait(ctx, wait) {
				return origins.Origin{}, false, cause
			}
			continue
		}
		select {
		case <-shared.done:
		case <-ctx.Done():
			return origins.Origin{}, false, cause
		}
		if shared.err == nil {
			origin, found := shared.index.find(stream, time.Now())
			return origin, found, nil
		}
		cause = shared.err
	}
}

// findInLatest looks a stream up in the latest read. known is false if that does not tell its origin and is not recent, or if there
// is none.
func (r *reader) findInLatest(stream string) (origin origins.Origin, found, known bool) {
	r.mutex.Lock()
	latest := r.latest
	r.mutex.Unlock()
	if latest == nil {
		return origins.Origin{}, false, false
	}
	now := time.Now()
	origin, found = latest.index.find(stream, now)
	return origin, found, found || now.Sub(latest.begun) < reuseFor
}

// join returns the read under way, or starts one. If none may begin yet, it returns how long to wait.
func (r *reader) join() (shared *read, wait time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.running != nil {
		return r.running, 0
	}
	now := time.Now()
	if wait := r.next.Sub(now); wait > 0 {
		return nil, wait
	}
	r.running = r.newRead(now)
	r.reads.Add(1)
	go r.complete(r.running)
	return r.running, 0
}

// newRead returns a read that begins now, or goes on at the page at which the last one failed. The mutex is held.
func (r *reader) newRead(now time.Time) *read {
	if failed := r.failed; failed != nil && now.Sub(failed.begun) < maxResumeAge {
		return &read{begun: failed.begun, done: make(chan struct{}), index: failed.index, rows: failed.rows, calls: failed.calls, from: failed.from}
	}
	return &read{begun: now, done: make(chan struct{}), index: newIndex(), from: rowPrefix}
}

// complete makes a read, and decides when the next one may begin.
func (r *reader) complete(current *read) {
	defer close(current.done)
	current.err = r.readRows(current)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.running, r.latest, r.failed = nil, nil, nil
	processes := max(r.options.Processes(), current.rows)
	if current.err != nil {
		r.failures++
		r.failed = current
		pause := readPeriod(1, processes) // one call is repeated
		r.next = time.Now().Add(max(pause, firstReadRetry, backoff.FullJitter(firstReadRetry, lastReadRetry, r.failures)))
		return
	}
	r.failures, r.latest = 0, current
	r.next = current.begun.Add(max(readPeriod(current.calls, processes), reuseFor))
	time.AfterFunc(time.Until(r.next), func() { r.drop(current) })
}

// drop releases the memory of a read whose time of reuse has ended.
func (r *reader) drop(expired *read) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.latest == expired {
		r.latest = nil
	}
}

// readPeriod returns the time between two reads of some calls each, by which all processes together stay below maxFleetReads.
func readPeriod(calls, processes int) time.Duration {
	return time.Duration(calls) * time.Duration(processes) * time.Second / maxFleetReads
}

// readRows reads and indexes all rows, of which it keeps no others than those of one page. One that is invalid is left out.
func (r *reader) readRows(current *read) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	_, err := tablestore.ReadPages(current.from, func(start string) (tablestore.Page, error) {
		current.from = start
		current.calls++
		page, err := r.options.Table.Range(ctx, start, rowEnd, pageRows)
		if err != nil || len(page.Rows) == 0 {
			return page, err
		}
		current.rows += len(page.Rows)
		r.addRows(current.index, page.Rows)
		last := page.Rows[len(page.Rows)-1].Key
		return tablestore.Page{Rows: []tablestore.Row{{Key: last}}, More: page.More}, nil
	})
	if err != nil {
		err = errors.Wrap(err, "read the origins of streams")
		r.options.Observer.OriginRecordFailed(err)
		return err
	}
	if current.rows > 0 {
		r.sawOthers.Store(true)
	}
	return nil
}

// addRows adds the valid ones of some rows to an index.
func (r *reader) addRows(all index, rows []tablestore.Row) {
	for _, stored := range rows {
		content, err := decodeRow(stored.Value)
		if err != nil {
			r.options.Observer.OriginRecordFailed(errors.Wrapf(err, "row %s", stored.Key))
			continue
		}
		all.add(content)
	}
}
