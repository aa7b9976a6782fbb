package tablestore

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"math"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Defaults and fixed settings of GroupStore.
const (
	defaultWindow       = 50 * time.Millisecond
	defaultMaxGroup     = 128
	maxLanes            = 4                    // groups in flight at once
	minGroupDelay       = 5 * time.Millisecond // wait for more members while another group is in flight
	minSendInterval     = 2 * time.Millisecond // first interval between groups after throttling
	throttleBackoffBase = 10 * time.Millisecond
	throttleBackoffMax  = time.Second
	closeTimeout        = 3 * time.Second // for groups in flight when the store closes
	cleanupTimeout      = time.Second     // for the removal of the lane rows after that
)

// RevisionOverwritten stands in a Receipt for the revision of a row that
// others overwrote before its revision could be read back. No row ever has
// this revision, so a condition on it fails.
const RevisionOverwritten uint64 = math.MaxUint64

// ErrInvalidTransaction means that the submitted transaction breaks the rules of Store,
// for example the one on self-conditioning. It was not applied.
var ErrInvalidTransaction = errors.New("invalid transaction")

// StoreOptions configure a GroupStore. Zero fields mean defaults.
type StoreOptions struct {
	// Window bounds how long a submission waits for others to join its group
	// while the table service throttles.
	Window time.Duration
	// MaxGroup is the largest number of rows written by one group. A larger
	// submission is sent alone.
	MaxGroup int
	Logger   *slog.Logger
	// Node is the name of the writer in the keys of its lane rows.
	Node string
}

// StoreStats holds the counters of a GroupStore since its start.
type StoreStats struct {
	Submitted    uint64 // transactions submitted to Commit
	Committed    uint64 // of these, committed
	Groups       uint64 // groups committed
	Rows         uint64 // rows written by them, without lane rows
	Transactions uint64 // commit requests sent to the service
	Throttled    uint64 // of these, rejected by its rate limit
	Unknown      uint64 // of these, without a reply
	Settled      uint64 // groups with an unknown outcome that was resolved
	Refused      uint64 // submissions rejected because the service is unavailable
}

// GroupStore implements Store on top of a table and an object store. It
// commits the submissions of many goroutines in groups (group commit), each
// group as one transaction on one of a few lanes. A lane is a row that
// serialises one group at a time and records which one committed last: every
// group also rewrites the row of its lane, conditional on the lane's revision.
// As nobody else writes that row, reading it shows whether a group whose reply
// was lost committed, even if others have since overwritten all its rows. Once
// the next transaction on the lane has committed, a lost one cannot commit
// later.
//
// The lane rows ("lane/NODE/INSTANCE/N") are new for each GroupStore; Close
// removes them. It is safe for concurrent use.
type GroupStore struct {
	table       Table
	objects     Objects
	window      time.Duration
	maxGroup    int
	logger      *slog.Logger
	instanceID  string // unique to this GroupStore
	breaker     breaker
	groups      sync.WaitGroup
	prober      sync.WaitGroup
	baseContext context.Context // ends when Close stops waiting for groups in flight
	cancel      context.CancelFunc

	mu              sync.Mutex // guards all below
	closed          bool
	probing         bool
	queue           queue
	locks           KeyLocks
	idleLanes       []*lane
	groupsSent      uint64
	active          int           // groups in flight, without those whose outcome is being resolved
	sendInterval    time.Duration // between groups, imposed by throttling; at most window
	lastStartAt     time.Time     // of a group
	notBefore       time.Time     // no group starts earlier, after throttling
	throttleRetries int
	wake            *time.Timer
	wakeAt          time.Time
	stats           StoreStats
}

var _ Store = (*GroupStore)(nil)

// lane carries one group at a time. revision is that of its row; 0 before the
// first group.
type lane struct {
	key      string
	revision uint64
	keepRow  bool // if the row were removed, a lost first group could still commit
}

// NewStore returns a GroupStore. The caller must call Close at the end.
func NewStore(table Table, objects Objects, options StoreOptions) *GroupStore {
	s := &GroupStore{
		table:      table,
		objects:    objects,
		window:     options.Window,
		maxGroup:   options.MaxGroup,
		logger:     options.Logger,
		instanceID: randomID(),
		locks:      NewKeyLocks(),
	}
	if s.window <= 0 {
		s.window = defaultWindow
	}
	if s.maxGroup <= 0 {
		s.maxGroup = defaultMaxGroup
	}
	if s.logger == nil {
		s.logger = slog.New(slog.NewJSONHandler(io.Discard, nil))
	}
	s.baseContext, s.cancel = context.WithCancel(context.Background())
	for number := range maxLanes {
		key := fmt.Sprintf("lane/%s/%s/%d", options.Node, s.instanceID, number)
		s.idleLanes = append(s.idleLanes, &lane{key: key})
	}
	return s
}

// randomID returns 16 random hexadecimal digits.
func randomID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails, according to its documentation
	return hex.EncodeToString(id[:])
}

// Commit implements Store. The transaction needs no WriteID. Errors:
// *ConflictError with the index among its own conditions, ErrUnavailable,
// ErrThrottled if the context ended while the service throttled,
// ErrInvalidTransaction, ErrRejected: all of these mean that it was not applied
// and never will be; ErrUnknownOutcome if the context ended, or the store was
// closed, before the outcome was known.
func (s *GroupStore) Commit(ctx context.Context, transaction Transaction) (Receipt, error) {
	if err := validate(transaction); err != nil {
		return Receipt{}, err
	}
	submitted := newSubmission(transaction, time.Now())
	if ctx.Err() != nil {
		return Receipt{}, errors.Wrap(ErrUnavailable, ctx.Err().Error())
	}
	if !s.submit(submitted) {
		return Receipt{}, ErrUnavailable
	}
	select {
	case result := <-submitted.answers:
		return result.receipt, result.err
	case <-ctx.Done():
		return s.handleCancelled(ctx, submitted)
	}
}

// validate checks the rules on submitted transactions.
func validate(transaction Transaction) error {
	written := make(map[string]bool, len(transaction.Writes))
	for _, write := range transaction.Writes {
		if write.Key == "" || written[write.Key] {
			return errors.Wrapf(ErrInvalidTransaction, "key %q empty or written twice", write.Key)
		}
		written[write.Key] = true
	}
	for _, condition := range transaction.Conditions {
		if written[condition.Key] {
			return nil
		}
	}
	return errors.Wrap(ErrInvalidTransaction, "no condition on a key that it writes")
}

// submit queues the submission. It returns false if the store does not accept it.
func (s *GroupStore) submit(submitted *submission) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Submitted++
	if s.closed || !s.breaker.allow() {
		s.stats.Refused++
		return false
	}
	s.queue.push(submitted)
	s.schedule()
	return true
}

// handleCancelled returns the result for a submitter whose context has ended.
func (s *GroupStore) handleCancelled(ctx context.Context, submitted *submission) (Receipt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !submitted.dequeued {
		s.queue.remove(submitted)
		s.schedule()
		submitted.throttled = submitted.throttled || s.throttleRetries > 0
		return Receipt{}, errors.Wrap(submitted.rejection(), ctx.Err().Error())
	}
	select {
	case result := <-submitted.answers:
		return result.receipt, result.err
	default:
		submitted.cancelled = true
		return Receipt{}, errors.Wrap(ErrUnknownOutcome, ctx.Err().Error())
	}
}

// schedule starts the groups that are due. It needs s.mu.
func (s *GroupStore) schedule() {
	for len(s.idleLanes) > 0 && len(s.queue.waiting) > 0 {
		now := time.Now()
		if now.Before(s.notBefore) {
			s.wakeUpAt(s.notBefore)
			return
		}
		if s.active > 0 && now.Before(s.wakeAt) && s.queue.rows < s.maxGroup {
			return
		}
		group, rows := s.queue.next(s.locks, s.maxGroup)
		if len(group) == 0 {
			return
		}
		if due := s.dueAt(group[0], rows); now.Before(due) {
			s.wakeUpAt(due)
			return
		}
		s.startGroup(group)
	}
}

// dueAt returns when a group of the given number of rows may start: a full
// group as soon as the send interval has passed, another group also not before
// its oldest member has waited for others to join. It needs s.mu.
func (s *GroupStore) dueAt(oldest *submission, rows int) time.Time {
	earliest := s.lastStartAt.Add(s.sendInterval)
	if rows >= s.maxGroup {
		return earliest
	}
	delay := s.sendInterval
	if s.active > 0 {
		delay = max(delay, minGroupDelay)
	}
	due := oldest.queuedAt.Add(delay)
	if due.Before(earliest) {
		return earliest
	}
	return due
}

// wakeUpAt sets the timer that checks the queue next. It needs s.mu.
func (s *GroupStore) wakeUpAt(at time.Time) {
	s.wakeAt = at
	if s.wake == nil {
		s.wake = time.AfterFunc(time.Until(at), s.onTimer)
		return
	}
	s.wake.Reset(time.Until(at))
}

func (s *GroupStore) onTimer() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule()
}

// startGroup starts a group on an idle lane. It needs s.mu and an idle lane.
func (s *GroupStore) startGroup(members []*submission) {
	s.queue.remove(members...)
	for _, member := range members {
		s.locks.Lock(member.transaction)
	}
	free := s.idleLanes[len(s.idleLanes)-1]
	s.idleLanes = s.idleLanes[:len(s.idleLanes)-1]
	s.active++
	s.lastStartAt = time.Now()
	group := newGroup(s, free, members)
	s.groups.Go(group.run)
}

// nextWriteID returns an id that is unique to this GroupStore and attempt.
func (s *GroupStore) nextWriteID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupsSent++
	return fmt.Sprintf("%s-%d", s.instanceID, s.groupsSent)
}

// count updates the statistics.
func (s *GroupStore) count(change func(*StoreStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// Stats returns the current counters.
func (s *GroupStore) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
