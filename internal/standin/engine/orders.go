package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// maxFencedPrograms is the maximum number of programs in a fenceTable.
const maxFencedPrograms = 1 << 16

// fenceTable records the highest epoch seen of each program. Above
// maxFencedPrograms it drops the program that was added first.
type fenceTable struct {
	epochs map[string]uint64
	order  []string
}

func newFenceTable() *fenceTable { return &fenceTable{epochs: map[string]uint64{}} }

// checkAndRecord records an epoch; it returns false if a higher one was seen.
func (t *fenceTable) checkAndRecord(program string, epoch uint64) bool {
	highest, exists := t.epochs[program]
	if exists && epoch < highest {
		return false
	}
	t.epochs[program] = epoch
	if exists {
		return true
	}
	t.order = append(t.order, program)
	if len(t.order) > maxFencedPrograms {
		delete(t.epochs, t.order[0])
		t.order = t.order[1:]
	}
	return true
}

func (e *Engine) serveOrder(writer http.ResponseWriter, request *http.Request) {
	var order backend.Order
	if err := json.NewDecoder(request.Body).Decode(&order); err != nil {
		backend.WriteError(writer, http.StatusBadRequest, backend.WireInvalid, err.Error())
		return
	}
	e.mutex.Lock()
	refused := e.orders.apply(order, time.Now())
	e.mutex.Unlock()
	if refused != nil {
		refused.write(writer)
		return
	}
	writer.WriteHeader(http.StatusNoContent)
}
