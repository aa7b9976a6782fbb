package ledger_test

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/pewtermill/pewtermill/internal/ledger"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestProgramGoesOnAsItsRowsAreRemoved has another process remove the rows of a program before each call of a turn that begins a
// conversation in it. The turn is answered, also where its process has read the account that is removed then.
func TestProgramGoesOnAsItsRowsAreRemoved(t *testing.T) {
	for call, calls := 0, 1; call < calls; call++ {
		t.Run(fmt.Sprint(call), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				p := newInheritingPrograms(t, 1, 100)
				var number atomic.Int64
				p.table.before = func() {
					if number.Add(1) == int64(call+1) {
						p.removeProgram()
					}
				}
				recordTurnOf(t, ledger.New(ledger.Options{Table: p.table, RunID: "b"}), 100, "p", "u1", "")
				p.table.before = nil
				if call == 0 {
					calls = int(number.Load())
				}
			})
		})
	}
}
