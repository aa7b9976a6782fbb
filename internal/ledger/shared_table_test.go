package ledger_test

import (
	"context"
	"encoding/base64"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Limits of the store, as its documentation states them.
const (
	storeEntries   = 100
	storeBytes     = 1_000_000
	storePageRows  = 500
	storePageBytes = 1 << 20
)

// sharedTable is a table in memory for several ledgers, in virtual time. It enforces the store's limits. If random is
// set, calls take 1 to 40 ms, and some of their answers are lost: writes are applied at once, never, or seconds later,
// should their conditions still hold.
type sharedTable struct {
	t      *testing.T
	random *rand.Rand
	lossy  bool
	before func() // if set, called before each call
	// unavailable reports, if set, whether the store refuses writes of a key's part.
	unavailable func(key string) bool
	fateOf      func(write int) fate // if set, what becomes of a writing call, by its number from 0 on

	mutex   sync.Mutex
	rows    map[string]tablestore.Row
	version uint64
	writes  int // calls
	reads   int
	stored  int // bytes of values written
}

// newSharedTable returns an empty table. Its late writes are applied before the test ends.
func newSharedTable(t *testing.T) *sharedTable {
	t.Cleanup(func() { time.Sleep(maxLateness) })
	return &sharedTable{t: t, rows: make(map[string]tablestore.Row)}
}

// fate is what becomes of a call.
type fate struct {
	before, after time.Duration
	lost, never   bool          // the answer is lost; the write is not applied
	late          time.Duration // after which a lost write is applied
}

// maxLateness is the longest time after which a write is applied whose answer was lost.
const maxLateness = 10 * time.Second

func (s *sharedTable) draw() fate {
	if s.before != nil {
		s.before()
	}
	if s.random == nil {
		return fate{}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	span := func() time.Duration { return time.Duration(1+s.random.IntN(20)) * time.Millisecond }
	drawn := fate{before: span(), after: span()}
	if s.lossy && s.random.IntN(12) == 0 {
		drawn.lost, drawn.never = true, s.random.IntN(3) == 0
		if s.random.IntN(3) == 0 {
			drawn.late = time.Duration(s.random.IntN(5000)) * time.Millisecond
		}
	}
	return drawn
}

func (s *sharedTable) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	drawn := s.draw()
	if number := s.check(transaction); s.fateOf != nil {
		drawn = s.fateOf(number)
	}
	if s.unavailable != nil && s.unavailable(transaction.Writes[0].Key) {
		return tablestore.Receipt{}, tablestore.ErrUnavailable
	}
	type outcome struct {
		receipt tablestore.Receipt
		err     error
	}
	done := make(chan outcome, 1)
	go func() { // the write is applied whether its caller waits or not
		time.Sleep(drawn.before + drawn.late)
		if drawn.never {
			return
		}
		receipt, err := s.apply(transaction)
		time.Sleep(drawn.after)
		if !drawn.lost {
			done <- outcome{receipt, err}
		}
	}()
	select {
	case ended := <-done:
		return ended.receipt, ended.err
	case <-ctx.Done():
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
}

// check fails the test if the store would reject a transaction, and returns the number of the call.
func (s *sharedTable) check(transaction tablestore.Transaction) int {
	size, entries := 0, len(transaction.Conditions)+len(transaction.Writes)
	for _, write := range transaction.Writes {
		size += base64.StdEncoding.EncodedLen(len(write.Value)) + len(write.Key) + 60 // the names of the fields
	}
	for _, condition := range transaction.Conditions {
		size += len(condition.Key) + 60
	}
	if entries > storeEntries || size > storeBytes {
		s.t.Errorf("a transaction of %d entries and %d bytes; the store rejects it", entries, size)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writes++
	return s.writes - 1
}

func (s *sharedTable) apply(transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for i, condition := range transaction.Conditions {
		if row := s.rows[condition.Key]; row.Revision != condition.Revision {
			row.Key = condition.Key
			return tablestore.Receipt{}, &tablestore.ConflictError{Index: i, Current: row}
		}
	}
	s.version++
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64)}
	for _, write := range transaction.Writes {
		if write.Delete {
			delete(s.rows, write.Key)
			continue
		}
		s.rows[write.Key] = tablestore.Row{Key: write.Key, Value: write.Value, Revision: s.version}
		s.stored += len(write.Value)
		receipt.Revisions[write.Key] = s.version
	}
	return receipt, nil
}

func (s *sharedTable) Get(ctx context.Context, key string) (tablestore.Row, error) {
	page, err := s.Range(ctx, key, key+"\x00", 1)
	return page.RowAt(key), err
}

func (s *sharedTable) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	drawn := s.draw()
	if pause(ctx, drawn.before) != nil {
		return tablestore.Page{}, tablestore.ErrUnavailable
	}
	page := s.page(start, end, min(limit, storePageRows))
	if drawn.lost {
		<-ctx.Done()
	}
	if pause(ctx, drawn.after) != nil {
		return tablestore.Page{}, tablestore.ErrUnavailable
	}
	return page, nil
}

// pause is sleep, without a timer if there is nothing to wait for: the race detector crashes on timers of a bubble that have
// expired as they are created.
func pause(ctx context.Context, length time.Duration) error {
	if length <= 0 {
		return ctx.Err()
	}
	return sleep(ctx, length)
}

func (s *sharedTable) page(start, end string, limit int) tablestore.Page {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.reads++
	var matching []string
	for key := range s.rows {
		if key >= start && key < end {
			matching = append(matching, key)
		}
	}
	slices.Sort(matching)
	var page tablestore.Page
	size := 0
	for _, key := range matching {
		row := s.rows[key]
		size += base64.StdEncoding.EncodedLen(len(row.Value))
		if len(page.Rows) == limit || (size > storePageBytes && len(page.Rows) > 0) {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	return page
}

// keys returns the keys of the rows of a table whose name begins with prefix.
func (s *sharedTable) keys(prefix string) []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var keys []string
	for key := range s.rows {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

// counts returns how many writing and reading calls were made, and how many bytes of values were written.
func (s *sharedTable) counts() (writes, reads, stored int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes, s.reads, s.stored
}

// hasRow reports whether a row is there.
func (s *sharedTable) hasRow(key string) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.rows[key].Revision != 0
}
