package versionrecord

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// rowKey is the key of the row, in the empty part: that of the lists of engines and configurations.
const rowKey = "stream-versions//record"

// Times of a Keeper.
const (
	// callTimeout bounds one call to the store.
	callTimeout = 500 * time.Millisecond
	// checkPeriod is the time between two checks, without a call, whether the record is to be written.
	checkPeriod = time.Second
	// followDelay is how long a node that is not a writer lets the writers add a version before it reads the record.
	followDelay = 60 * time.Millisecond
	// firstRecordDelay is the same while there is no record, for which no stream waits.
	firstRecordDelay = 2 * time.Second
	// settleDelay is how long a change that nobody waits for is left to other writers.
	settleDelay = time.Second
	firstRetry  = 50 * time.Millisecond
	lastRetry   = 2 * time.Second
	// maxReads is how often a node reads the record for a version that it lacks before the node adds it itself.
	maxReads = 3
)

// Options configure a Keeper.
type Options struct {
	Table tablestore.Table
	RunID string // of this process; unique among all runs
	// Observe returns what this node knows, and false before the first lists.
	Observe func() (Observation, bool)
	// Writes reports whether this node is one of the few that write the record while all are well.
	Writes func() bool
	// SetEarlier is called with for how long each service certainly had no other versions before this node saw every change,
	// which it has done since a time.
	SetEarlier func(since time.Time, known map[string]time.Duration)
	// AskPeers returns what Recorded returns at peers for a service, as far as they respond soon. Queries of different names go to
	// different peers.
	AskPeers func(ctx context.Context, service, query string) []string
	Observer Observer
}

// Observer is notified of calls that failed. It must not block.
type Observer interface {
	// VersionRecordFailed is called when the record could not be read or written.
	VersionRecordFailed(cause error)
}

// Keeper keeps the record. Safe for concurrent use.
type Keeper struct {
	options Options
	wake    chan struct{}

	mutex    sync.Mutex
	read     bool // the record has been read, or written
	record   Record
	revision uint64
	unlisted map[versionKey]bool // versions of the record that were not recent at some time since
	told     map[versionKey]bool // versions of the record by peers that have read it, while this node has not
	updated  chan struct{}       // closed when the record is next read or written, or peers have told of it

	// Of the goroutine of Run.
	appliedSince time.Time // Observation.Since for which SetEarlier was called
	reads        int       // since the record last had all listed versions
	failures     int       // in a row
}

// New returns a keeper that has not read the record.
func New(options Options) *Keeper {
	return &Keeper{options: options, wake: make(chan struct{}, 1), unlisted: make(map[versionKey]bool),
		told: make(map[versionKey]bool), updated: make(chan struct{})}
}

// Wake makes Run look at once whether the record is to be read or written, since engines or configuration have changed.
func (k *Keeper) Wake() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// Run reads and writes the record until ctx ends.
func (k *Keeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
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

// step makes at most one call to the store, and returns when to take the next step.
func (k *Keeper) step(ctx context.Context) time.Duration {
	seen, complete := k.options.Observe()
	if !complete {
		return checkPeriod
	}
	k.forgetUnlisted(seen)
	record, wasRead := k.current()
	urgent := record.lacksListed(seen) || k.wasUnlisted(seen)
	if !urgent {
		k.reads = 0
	}
	next, changed := record.updated(seen)
	switch {
	case !wasRead:
		return k.afterCall(k.readFirst(ctx, seen))
	case !k.appliedSince.Equal(seen.Since):
		return k.afterCall(k.readRecord(ctx, seen))
	case urgent && (k.options.Writes() || k.reads >= maxReads):
		return k.afterCall(k.write(ctx, next))
	case urgent:
		delay := followDelay << k.reads
		if len(record.Services) == 0 {
			delay = firstRecordDelay
		}
		if !backoff.Wait(ctx, backoff.Jitter(delay)) {
			return 0
		}
		k.reads++
		return k.afterCall(k.readRecord(ctx, seen))
	case changed && k.options.Writes():
		if !k.waitForOthers(ctx) {
			return 0
		}
		return k.afterCall(k.write(ctx, next))
	}
	return checkPeriod
}

// wasUnlisted reports whether a version is listed again of which all engines had been removed since the record was read.
func (k *Keeper) wasUnlisted(seen Observation) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for key := range k.unlisted {
		if slices.Contains(seen.Services[key.service].Listed, key.version) {
			return true
		}
	}
	return false
}

// waitForOthers waits before a change that is not urgent, so that the writers do not all make it at once. It returns false if
// something has changed meanwhile.
func (k *Keeper) waitForOthers(ctx context.Context) bool {
	timer := time.NewTimer(backoff.Jitter(settleDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-k.wake:
		return false
	case <-timer.C:
		return true
	}
}

// afterCall returns when to take the next step after a call.
func (k *Keeper) afterCall(err error) time.Duration {
	if err == nil {
		k.failures = 0
		return 0
	}
	k.failures++
	k.options.Observer.VersionRecordFailed(err)
	return backoff.FullJitter(firstRetry, lastRetry, k.failures)
}

// HasSeveral reports whether the record, as this node last read or wrote it, names several versions of a service.
func (k *Keeper) HasSeveral(service string) bool {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return len(k.record.Services[service].Versions) > 1
}

// current returns the record as it was last read or written, and whether it ever was.
func (k *Keeper) current() (Record, bool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	return k.record, k.read
}

// readRecord reads the record. What it says of the time before the node saw every change is valid only if the node began to
// before it read.
func (k *Keeper) readRecord(ctx context.Context, seen Observation) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	row, err := k.options.Table.Get(ctx, rowKey)
	if err != nil {
		return errors.Wrap(err, "read the record of software versions")
	}
	return k.adopt(row, seen)
}

// adopt takes over the row as the store has it.
func (k *Keeper) adopt(row tablestore.Row, seen Observation) error {
	record, err := decode(row.Value)
	if err != nil {
		record = Record{} // it is replaced
	}
	k.set(record, row.Revision)
	if now, _ := k.options.Observe(); now.Since.Equal(seen.Since) {
		k.options.SetEarlier(seen.Since, record.earlier(now))
		k.appliedSince = seen.Since
	}
	return err
}

// set replaces the known record.
func (k *Keeper) set(record Record, revision uint64) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	k.record, k.revision, k.read = record, revision, true
	clear(k.unlisted)
	clear(k.told)
	k.notifyUpdated()
}

// notifyUpdated wakes streams that wait. The mutex is held.
func (k *Keeper) notifyUpdated() {
	close(k.updated)
	k.updated = make(chan struct{})
}

// write writes the record if it is still as it was read. If it is not, or if that is unknown, the next step begins with what
// the store has.
func (k *Keeper) write(ctx context.Context, next Record) error {
	value, err := json.Marshal(next)
	if err != nil {
		return errors.Wrap(err, "encode the record of software versions")
	}
	k.mutex.Lock()
	revision := k.revision
	k.mutex.Unlock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	receipt, err := k.options.Table.Commit(ctx, tablestore.Transaction{
		WriteID:    fmt.Sprintf("%s/stream-versions/%d", k.options.RunID, time.Now().UnixNano()),
		Conditions: []tablestore.Condition{{Key: rowKey, Revision: revision}},
		Writes:     []tablestore.Write{{Key: rowKey, Value: value}},
	})
	var conflict *tablestore.ConflictError
	switch {
	case err == nil:
		k.set(next, receipt.Revisions[rowKey])
		return nil
	case errors.As(err, &conflict):
		record, err := decode(conflict.Current.Value)
		k.set(record, conflict.Current.Revision)
		return err
	}
	k.appliedSince = time.Time{} // the write may have happened: read it
	return errors.Wrap(err, "write the record of software versions")
}

// forgetUnlisted drops versions that are not recent from the record as this node, or a peer for it, has read it. Others may remove
// them from the row, so it is read again if engines of them come back.
func (k *Keeper) forgetUnlisted(seen Observation) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	for name, service := range seen.Services {
		for _, version := range k.record.Services[name].Versions {
			if !slices.Contains(service.Recent, version) {
				k.unlisted[versionKey{name, version}] = true
			}
		}
	}
	maps.DeleteFunc(k.told, func(key versionKey, _ bool) bool {
		return !slices.Contains(seen.Services[key.service].Recent, key.version)
	})
	maps.DeleteFunc(k.unlisted, func(key versionKey, _ bool) bool { return !k.record.has(key.service, key.version) })
}

// versionKey identifies a version of a service.
type versionKey struct{ service, version string }
