package engine

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// maxFencedPrograms bounds a fenceTable.
const maxFencedPrograms = 1 << 16

// fenceTable keeps the highest epoch seen of each program. Over its bound it
// forgets the programs that it has known longest.
type fenceTable struct {
	epochs map[string]uint64
	order  []string
}

func newFenceTable() *fenceTable { return &fenceTable{epochs: map[string]uint64{}} }

// pass records an epoch; false if a higher one was seen.
func (t *fenceTable) pass(program string, epoch uint64) bool {
	highest, known := t.epochs[program]
	if known && epoch < highest {
		return false
	}
	t.epochs[program] = epoch
	if known {
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
