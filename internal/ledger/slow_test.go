package ledger_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/platform"
)

// sluggish is a table that can be told to answer late.
type sluggish struct {
	tablestore.Table
	mutex  sync.Mutex
	read   time.Duration // before each read
	write  time.Duration // before each write
	writes int
}

func (s *sluggish) set(read, write time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.read, s.write, s.writes = read, write, 0
}

func (s *sluggish) made() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.writes
}

func pause(ctx context.Context, length time.Duration) error {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (s *sluggish) Commit(ctx context.Context, transaction tablestore.Transaction) (tablestore.Receipt, error) {
	s.mutex.Lock()
	s.writes++
	delay := s.write
	s.mutex.Unlock()
	if err := pause(ctx, delay); err != nil {
		return tablestore.Receipt{}, tablestore.ErrUnknownOutcome
	}
	return s.Table.Commit(ctx, transaction)
}

func (s *sluggish) Get(ctx context.Context, key string) (tablestore.Row, error) {
	s.mutex.Lock()
	delay := s.read
	s.mutex.Unlock()
	if err := pause(ctx, delay); err != nil {
		return tablestore.Row{}, err
	}
	return s.Table.Get(ctx, key)
}

// TestSlowTableGetsNoWriteTwice lets writes wait in the queue of a slow table, whose
// reads are slow as well. The day that found it: scale-1 of the grown Ibarra, where
// the table answered 21.6 times later for 3.5 s, each write was given up and made
// again, and of 700 writes a second 52 took effect.
func TestSlowTableGetsNoWriteTwice(t *testing.T) {
	table := &sluggish{Table: platform.NewStore(newStore(t).Address(), nil)}
	l := ledger.New(ledger.Options{Table: table, Run: "a"})
	say(t, l, "quick", "t0", "")
	table.set(150*time.Millisecond, 500*time.Millisecond)
	say(t, l, "p", "t1", "")
	if writes := table.made(); writes != 2 {
		t.Errorf("%d writes for leave and record of one turn, want 2", writes)
	}
}

// TestLostWriteIsMadeAgainSoon lets the answers of writes fail to come from a table
// whose reads are as quick as ever.
func TestLostWriteIsMadeAgainSoon(t *testing.T) {
	table := &sluggish{Table: platform.NewStore(newStore(t).Address(), nil)}
	l := ledger.New(ledger.Options{Table: table, Run: "a"})
	say(t, l, "quick", "t0", "")
	table.set(0, time.Hour)
	done := make(chan struct{})
	go func() {
		defer close(done)
		say(t, l, "p", "t1", "")
	}()
	deadline := time.After(5 * time.Second)
	for table.made() < 2 {
		select {
		case <-deadline:
			t.Fatal("a write without an answer was not made again")
		case <-time.After(5 * time.Millisecond):
		}
	}
	table.set(0, 0)
	<-done
}
