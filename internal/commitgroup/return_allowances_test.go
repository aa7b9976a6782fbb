package commitgroup

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// slowReadsService is a table service whose rows can be read, as slowly as they are written.
type slowReadsService struct{ *serialParts }

// delayRead takes as long as a call to a part.
func (s slowReadsService) delayRead() {
	s.serialParts.mutex.Lock()
	work := s.work
	s.serialParts.mutex.Unlock()
	time.Sleep(work) // virtual
}

// Get implements tablestore.Table.
func (s slowReadsService) Get(ctx context.Context, key string) (tablestore.Row, error) {
	s.delayRead()
	return s.faultyTable.Get(ctx, key)
}

// Range implements tablestore.Table.
func (s slowReadsService) Range(ctx context.Context, start, end string, limit int) (tablestore.Page, error) {
	s.delayRead()
	return readableTable{s.faultyTable}.Range(ctx, start, end, limit)
}

// held returns how many tokens are held by nodes according to the accounts.
func (s slowReadsService) held(t *testing.T) int64 {
	t.Helper()
	s.faultyTable.mutex.Lock()
	defer s.faultyTable.mutex.Unlock()
	var sum int64
	for key, row := range s.rows {
		if !strings.HasPrefix(key, "program-turns/") || !strings.HasSuffix(key, "/") {
			continue
		}
		var account ledger.Account
		if err := json.Unmarshal(row.Value, &account); err != nil {
			t.Error(err)
		}
		sum += account.Outstanding()
	}
	return sum
}

// TestStopGivesBackToSlowParts stops a node that holds many whole budgets, with 3 s of the grace period left. The parts
// take 6 writes per second each, and others write as well. All tokens must be returned.
func TestStopGivesBackToSlowParts(t *testing.T) {
	const (
		programs    = 300
		budget      = 1000
		maxTokens   = 100
		drainNotice = 2500 * time.Millisecond
		flushTime   = 500 * time.Millisecond
	)
	virtualtime.Test(t, func(t *testing.T) {
		service := slowReadsService{&serialParts{faultyTable: newFaultyTable(1, 0), free: make(map[string]time.Time)}}
		table := NewTable(Options{Table: service, Node: "n", AllowMultiPart: true, DirectPathLost: func() bool { return false }, Observer: silentObserver{}})
		l := ledger.New(ledger.Options{Table: table, RunID: "a", BatchDelay: MaxGroupDelay})
		reserve := func(program string) {
			run, err := l.ReserveForPeer(t.Context(), ledger.TurnRequest{Program: program, Budget: budget, MaxTokens: maxTokens}, func() {})
			if err != nil {
				t.Errorf("program %s: %v", program, err)
				return
			}
			run.Abandon()
		}
		reserve("quick")
		service.slowDown(150 * time.Millisecond)
		for i := range 12 {
			reserve(fmt.Sprintf("slow%d", i))
		}
		var group sync.WaitGroup
		for i := range programs {
			time.Sleep(20 * time.Millisecond) // 50 a second
			group.Go(func() { reserve(fmt.Sprintf("p%d", i)) })
		}
		group.Wait()
		before, calls := service.held(t), table.Stats().Groups
		var others sync.WaitGroup
		var slowest time.Duration
		var mutex sync.Mutex
		for i := range 100 {
			others.Go(func() {
				time.Sleep(time.Duration(i) * 30 * time.Millisecond)
				start := time.Now()
				if _, err := table.Commit(t.Context(), row(i%ledger.Parts, fmt.Sprint("other", i), 0)); err != nil {
					t.Error(err)
				}
				mutex.Lock()
				defer mutex.Unlock()
				slowest = max(slowest, time.Since(start))
			})
		}
		var drain sync.WaitGroup
		ctx, cancel := context.WithCancel(t.Context())
		drain.Go(func() { l.Drain(ctx) })
		time.Sleep(drainNotice)
		flushContext, endFlush := context.WithTimeout(ctx, flushTime)
		l.ReturnAllowances(flushContext)
		endFlush()
		cancel()
		held := service.held(t)
		drain.Wait()
		others.Wait()
		t.Logf("%d of %d tokens still held; %d calls, the slowest other write took %s, %d rejected",
			held, before, table.Stats().Groups-calls, slowest, service.throttled)
		if held > 0 {
			t.Errorf("%d of %d tokens still held after a planned stop", held, before)
		}
		time.Sleep(time.Minute) // virtual: no call is in flight
	})
}
