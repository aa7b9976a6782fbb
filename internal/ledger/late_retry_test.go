package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// throttlingTable throttles each call, with a response after responseTime.
type throttlingTable struct {
	tablestore.Table
	responseTime time.Duration
}

func (r throttlingTable) Commit(context.Context, tablestore.Transaction) (tablestore.Receipt, error) {
	time.Sleep(r.responseTime)
	return tablestore.Receipt{}, errors.Mark(errors.New("too many writes"), tablestore.ErrThrottled)
}

func (r throttlingTable) Range(context.Context, string, string, int) (tablestore.Page, error) {
	time.Sleep(r.responseTime)
	return tablestore.Page{}, errors.Mark(errors.New("too many reads"), tablestore.ErrThrottled)
}

// TestNoRetryIsTooLateForItsAnswer runs callers with many deadlines that record and look up turns in a
// table that throttles calls. A call is retried only if it can be answered before
// its caller's deadline, so each caller gets its error before that.
func TestNoRetryIsTooLateForItsAnswer(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const callers = 400
		var all sync.WaitGroup
		for i := range callers {
			l := ledger.New(ledger.Options{Table: throttlingTable{responseTime: 20 * time.Millisecond}, RunID: fmt.Sprint(i), Now: time.Now})
			limit := 500*time.Millisecond + time.Duration(i)*5*time.Millisecond
			request := ledger.TurnRequest{Program: fmt.Sprint("p", i)}
			all.Go(func() {
				run, problem := l.Begin(t.Context(), request)
				if problem != nil {
					t.Error(problem)
					return
				}
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				if run.Settle(ctx, 10, &ledger.Turn{ID: "t"}) == nil || ctx.Err() != nil {
					t.Errorf("recording a turn with a timeout of %s: the error came after the deadline", limit)
				}
			})
			all.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), limit)
				defer cancel()
				request := request
				request.Previous = "unknown"
				if _, problem := l.Begin(ctx, request); problem == nil || ctx.Err() != nil {
					t.Errorf("beginning a turn with a timeout of %s: the error came after the deadline", limit)
				}
			})
		}
		all.Wait()
	})
}
