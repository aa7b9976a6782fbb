package originrecord

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// The rows are in a part of their own. Their keys end with the run ID of the process.
const (
	rowPrefix = "stream-origins/recent/"
	rowEnd    = rowPrefix + "\x7f"
)

// Times of a Keeper.
const (
	// callTimeout bounds one call to the store.
	callTimeout = 500 * time.Millisecond
	// minWritePeriod is the minimum time between two writes of a process.
	minWritePeriod = 100 * time.Millisecond
	// maxFleetWrites is how many writes a second all processes make at most: less than half of what the store accepts in one part.
	maxFleetWrites = 120
	// checkPeriod is the time between two checks, without a call, whether the row is to be written.
	checkPeriod = time.Second
	firstRetry  = 200 * time.Millisecond
	lastRetry   = 4 * time.Second
)

// Options configure a Keeper.
type Options struct {
	Table tablestore.Table
	RunID string // of this process; unique among all runs
	// Begun returns the streams that this process began, whose first event it sent or is about to send, and that clients may
	// resume; newest first.
	Begun func() []origins.Origin
	// Several reports whether several versions of a service may have begun streams that clients may resume.
	Several func(service string) bool
	// AnySeveral reports whether that is true of any service.
	AnySeveral func() bool
	// Processes returns how many processes there are, including this one.
	Processes func() int
	// Sweeps reports whether this process is one of the few that remove rows of ended processes.
	Sweeps   func() bool
	Observer Observer
}

// Observer is notified of calls that failed. It must not block.
type Observer interface {
	// OriginRecordFailed is called when rows could not be read or written, or when one is invalid.
	OriginRecordFailed(cause error)
}

// Keeper writes the row of this process, reads those of all, and removes those of ended processes. Safe for concurrent use.
type Keeper struct {
	options Options
	rowKey  string
	wake    chan struct{}
	reader  reader
	written atomic.Uint64 // rows written

	// Of the goroutine of Run.
	revision uint64              // of the row; 0 if it is absent
	streams  map[string]startKey // in the row
	nextCall time.Time           // no call is made before
	failures int                 // in a row
	sweeper  sweeper
}

// New returns a keeper without a row.
func New(options Options) *Keeper {
	return &Keeper{options: options, rowKey: rowPrefix + options.RunID, wake: make(chan struct{}, 1),
		reader: reader{options: options}, sweeper: newSweeper()}
}

// Wake makes Run look at once whether the row is to be written, since a stream has begun or versions have changed.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Calls returns how many rows were written and how often all rows were read.
func (k *Keeper) Calls() (written, read uint64) { return k.written.Load(), k.reader.reads.Load() }

// Run writes and removes rows until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if wait := time.Until(k.nextCall); wait > 0 {
			backoff.Wait(ctx, wait)
			continue
		}
		delay := k.step(ctx)
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-k.wake:
		}
		timer.Stop()
	}
}

// step makes at most one transaction, and returns when to take the next step.
func (k *Keeper) step(ctx context.Context) time.Duration {
	now := time.Now()
	if k.options.Sweeps() && k.sweeper.due(now, k.options.AnySeveral(), k.reader.sawOthers.Swap(false)) {
		return k.afterCall(k.sweep(ctx)) // before the row, which is to be written all the time during a release
	}
	content, streams := newRow(newest(k.toRecord(k.options.Begun()), k.options.Processes()), now)
	switch {
	case k.lacksAny(streams):
		return k.afterCall(k.write(ctx, content, streams))
	case len(streams) == 0 && k.revision != 0:
		return k.afterCall(k.remove(ctx))
	}
	return checkPeriod
}

// toRecord returns the streams that the row is to name: those whose version could not be inferred as they were sent, those of services
// with several versions, and those that it names already.
func (k *Keeper) toRecord(begun []origins.Origin) []origins.Origin {
	var recorded []origins.Origin
	several := make(map[string]bool)
	for _, origin := range begun {
		if _, known := several[origin.Service]; !known {
			several[origin.Service] = k.options.Several(origin.Service)
		}
		if _, named := k.streams[origin.Stream]; named || origin.NotInferable || several[origin.Service] {
			recorded = append(recorded, origin)
		}
	}
	return recorded
}

// lacksAny reports whether the row in the store does not name one of some streams, or names another start for it.
func (k *Keeper) lacksAny(streams map[string]startKey) bool {
	for stream, start := range streams {
		if k.streams[stream] != start {
			return true
		}
	}
	return false
}

// writePeriod returns the time between two writes, by which all processes together stay below maxFleetWrites.
func writePeriod(processes int) time.Duration {
	return max(minWritePeriod, time.Duration(processes)*time.Second/maxFleetWrites)
}

// afterCall returns when to take the next step after a call.
func (k *Keeper) afterCall(err error) time.Duration {
	delay := writePeriod(k.options.Processes())
	if err == nil {
		k.failures = 0
	} else {
		k.failures++
		delay += backoff.FullJitter(firstRetry, lastRetry, k.failures)
		k.options.Observer.OriginRecordFailed(err)
	}
	k.nextCall = time.Now().Add(delay)
	return 0
}

// write writes the row, which names some streams.
func (k *Keeper) write(ctx context.Context, content row, streams map[string]startKey) error {
	value, err := json.Marshal(content)
	if err != nil {
		return errors.Wrap(err, "encode the origins of streams")
	}
	receipt, err := k.commit(ctx, tablestore.Write{Key: k.rowKey, Value: value})
	if err != nil {
		return errors.Wrap(err, "write the origins of streams")
	}
	k.revision, k.streams = receipt.Revisions[k.rowKey], streams
	k.written.Add(1)
	return nil
}

// remove removes the row.
func (k *Keeper) remove(ctx context.Context) error {
	if _, err := k.commit(ctx, tablestore.Write{Key: k.rowKey, Delete: true}); err != nil {
		return errors.Wrap(err, "remove the origins of streams")
	}
	k.revision, k.streams = 0, nil
	return nil
}

// commit writes the row of this process. If the outcome of the write before is unknown, or another process has removed the row, the
// conflict states the revision for the next one.
func (k *Keeper) commit(ctx context.Context, write tablestore.Write) (tablestore.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	for {
		receipt, err := k.options.Table.Commit(ctx, tablestore.Transaction{
			WriteID:    fmt.Sprintf("%s/stream-origins/%d", k.options.RunID, time.Now().UnixNano()),
			Conditions: []tablestore.Condition{{Key: k.rowKey, Revision: k.revision}},
			Writes:     []tablestore.Write{write},
		})
		var conflict *tablestore.ConflictError
		if !errors.As(err, &conflict) || conflict.Current.Revision == k.revision {
			return receipt, err
		}
		k.revision = conflict.Current.Revision
		if write.Delete && k.revision == 0 {
			return tablestore.Receipt{}, nil
		}
	}
}
