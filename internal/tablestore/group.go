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
	defaultWindow   = 50 * time.Millisecond
	defaultMaxGroup = 128
	maxLanes        = 4                    // groups in flight at once
	minGather       = 5 * time.Millisecond // gathering while another group is in flight
	minPace         = 2 * time.Millisecond // first step of the wait after throttling
	throttleBase    = 10 * time.Millisecond
	throttleLimit   = time.Second
	closeGrace      = 3 * time.Second // for groups in flight when the store closes
	cleanupTimeout  = time.Second     // for the removal of the lane rows after that
)

// RevisionOverwritten stands in a Receipt for the revision of a row that was
// overwritten by others before its revision could be read back. No row ever
// has it, so a condition on it fails.
const RevisionOverwritten uint64 = math.MaxUint64

// ErrInvalidTransaction means that the submitted transaction breaks the rules of Store,
// such as self-conditioning. It was not applied.
var ErrInvalidTransaction = errors.New("invalid transaction")

// StoreOptions set up a GroupStore. Zero fields stand for defaults.
type StoreOptions struct {
	// Window bounds how long a submission waits for others to join its group
	// while the table service throttles.
	Window time.Duration
	// MaxGroup is the most rows written by one group. A submission that
	// writes more goes alone.
	MaxGroup int
	Logger   *slog.Logger
	// Node names the writer in the keys of its lane rows.
	Node string
}

// StoreStats count what a GroupStore did since its start.
type StoreStats struct {
	Submitted    uint64 // transactions submitted to Commit
	Committed    uint64 // of these, committed
	Groups       uint64 // groups committed
	Rows         uint64 // rows written by them, without lane rows
	Transactions uint64 // commit requests sent to the service
	Throttled    uint64 // of these, refused by its rate limit
	Unknown      uint64 // of these, without a reply
	Settled      uint64 // groups with an unknown outcome that were settled
	Refused      uint64 // submissions refused because the service is unavailable
}

// GroupStore implements Store on top of a table and an object store. It
// commits the submissions of many goroutines in groups, each group one
// transaction on one of a few lanes. Every group also rewrites the row of its
// lane, conditional on the lane's revision. As nobody else writes that row,
// reading it tells whether a group whose reply was lost took effect, even if
// others have since overwritten all its rows; and the next transaction on the
// lane makes it impossible that a lost one takes effect later.
//
// The lane rows ("lane/NODE/START/N") are new for each GroupStore; Close
// removes them. It is safe for concurrent use.
type GroupStore struct {
	table    Table
	objects  Objects
	window   time.Duration
	maxGroup int
	logger   *slog.Logger
	start    string // unique to this GroupStore
	breaker  breaker
	groups   sync.WaitGroup
	prober   sync.WaitGroup
	base     context.Context // ends when Close has waited long enough
	cancel   context.CancelFunc

	mu              sync.Mutex // guards all below
	closed          bool
	probing         bool
	queue           queue
	held            KeyLocks
	idle            []*lane
	groupsSent      uint64
	active          int           // groups in flight, without those being settled
	pace            time.Duration // wait imposed by throttling, up to window
	lastStart       time.Time     // of a group
	notBefore       time.Time     // no group starts earlier, after throttling
	throttleRetries int
	wake            *time.Timer
	wakeAt          time.Time
	stats           StoreStats
}

var _ Store = (*GroupStore)(nil)

// lane carries one group at a time. revision is that of its row, 0 before the
// first group.
type lane struct {
	key      string
	revision uint64
	keepRow  bool // removing the row could let a lost first group in again
}

// NewStore returns a GroupStore. Close must be called at the end.
func NewStore(table Table, objects Objects, options StoreOptions) *GroupStore {
	s := &GroupStore{
		table:    table,
		objects:  objects,
		window:   options.Window,
		maxGroup: options.MaxGroup,
		logger:   options.Logger,
		start:    randomID(),
		held:     NewKeyLocks(),
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
	s.base, s.cancel = context.WithCancel(context.Background())
	for number := range maxLanes {
		key := fmt.Sprintf("lane/%s/%s/%d", options.Node, s.start, number)
		s.idle = append(s.idle, &lane{key: key})
	}
	return s
}

// randomID returns 16 random hexadecimal digits.
func randomID() string {
	var id [8]byte
	_, _ = rand.Read(id[:]) // never fails, by its documentation
	return hex.EncodeToString(id[:])
}

// Commit implements Store. The transaction needs no WriteID. Errors:
// *ConflictError with the index among its own conditions, ErrUnavailable,
// ErrThrottled if the context ended while the service throttled,
// ErrInvalidTransaction, ErrRejected: all of these say that it was not applied
// and never will be; ErrUnknownOutcome if the context ended, or the store was
// closed, before the outcome was known.
func (s *GroupStore) Commit(ctx context.Context, transaction Transaction) (Receipt, error) {
	if err := check(transaction); err != nil {
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
		return s.leave(ctx, submitted)
	}
}

// check enforces the rules on submitted transactions.
func check(transaction Transaction) error {
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

// submit queues the submission; false if the store takes none now.
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

// leave answers a submitter whose context has ended.
func (s *GroupStore) leave(ctx context.Context, submitted *submission) (Receipt, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !submitted.taken {
		s.queue.take(submitted)
		s.schedule()
		submitted.throttled = submitted.throttled || s.throttleRetries > 0
		return Receipt{}, errors.Wrap(submitted.refusal(), ctx.Err().Error())
	}
	select {
	case result := <-submitted.answers:
		return result.receipt, result.err
	default:
		submitted.left = true
		return Receipt{}, errors.Wrap(ErrUnknownOutcome, ctx.Err().Error())
	}
}

// schedule starts the groups that are due. It needs s.mu.
func (s *GroupStore) schedule() {
	for len(s.idle) > 0 && len(s.queue.waiting) > 0 {
		now := time.Now()
		if now.Before(s.notBefore) {
			s.wakeUpAt(s.notBefore)
			return
		}
		if s.active > 0 && now.Before(s.wakeAt) && s.queue.rows < s.maxGroup {
			return
		}
		group, rows := s.queue.next(s.held, s.maxGroup)
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

// dueAt is when a group of so many rows may start: a full one as soon as the
// pace allows, another when its oldest member has also waited for others to
// join. It needs s.mu.
func (s *GroupStore) dueAt(oldest *submission, rows int) time.Time {
	paced := s.lastStart.Add(s.pace)
	if rows >= s.maxGroup {
		return paced
	}
	gather := s.pace
	if s.active > 0 {
		gather = max(gather, minGather)
	}
	gathered := oldest.queuedAt.Add(gather)
	if gathered.Before(paced) {
		return paced
	}
	return gathered
}

// wakeUpAt arms the timer for the next look at the queue. It needs s.mu.
func (s *GroupStore) wakeUpAt(at time.Time) {
	s.wakeAt = at
	if s.wake == nil {
		s.wake = time.AfterFunc(time.Until(at), s.wakeUp)
		return
	}
	s.wake.Reset(time.Until(at))
}

func (s *GroupStore) wakeUp() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.schedule()
}

// startGroup needs s.mu and an idle lane.
func (s *GroupStore) startGroup(members []*submission) {
	s.queue.take(members...)
	for _, member := range members {
		s.held.Lock(member.transaction)
	}
	used := s.idle[len(s.idle)-1]
	s.idle = s.idle[:len(s.idle)-1]
	s.active++
	s.lastStart = time.Now()
	group := newGroup(s, used, members)
	s.groups.Go(group.run)
}

// nextWriteID is unique to this process and attempt.
func (s *GroupStore) nextWriteID() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.groupsSent++
	return fmt.Sprintf("%s-%d", s.start, s.groupsSent)
}

// count changes the statistics.
func (s *GroupStore) count(change func(*StoreStats)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.stats)
}

// Stats returns the counters as they are now.
func (s *GroupStore) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}
