package engine

import (
	"encoding/json"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// Actions of a backend.Order.
const (
	actionLoadModel     = "load_model"
	actionUnloadModel   = "unload_model"
	actionLoadAdapter   = "load_adapter"
	actionUnloadAdapter = "unload_adapter"
	actionSetRole       = "set_role"
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

// loadedItem is a model or adapter, in use from readyAt on.
type loadedItem struct {
	version string
	readyAt time.Time
}

// orderState is what administrative orders have set.
type orderState struct {
	fence    uint64
	role     string
	loadTime time.Duration
	models   map[string]loadedItem
	adapters map[string]loadedItem
}

func newOrderState(options Options, now time.Time) *orderState {
	state := &orderState{
		role:     options.Role,
		loadTime: options.LoadTime,
		models:   map[string]loadedItem{},
		adapters: map[string]loadedItem{},
	}
	for _, model := range options.Models {
		state.models[model] = loadedItem{readyAt: now}
	}
	return state
}

// apply carries an order out. Loading what is loaded in the same version
// changes nothing.
func (s *orderState) apply(order backend.Order, now time.Time) *refusal {
	if order.Fence < s.fence {
		return &refusal{http.StatusConflict, backend.WireFenced, "a higher fence was seen"}
	}
	switch order.Action {
	case actionLoadModel:
		s.load(s.models, order.Model, order.Version, now)
	case actionUnloadModel:
		delete(s.models, order.Model)
	case actionLoadAdapter:
		s.load(s.adapters, order.Adapter, order.Version, now)
	case actionUnloadAdapter:
		delete(s.adapters, order.Adapter)
	case actionSetRole:
		s.role = order.Role
	default:
		return &refusal{http.StatusBadRequest, backend.WireInvalid, "unknown action"}
	}
	s.fence = order.Fence
	return nil
}

func (s *orderState) load(items map[string]loadedItem, name, version string, now time.Time) {
	if loaded, found := items[name]; found && loaded.version == version {
		return
	}
	items[name] = loadedItem{version: version, readyAt: now.Add(s.loadTime)}
}

// serves tells whether a model, and an adapter if one is named, are ready.
func (s *orderState) serves(model, adapter string, now time.Time) bool {
	if !isReady(s.models, model, now) {
		return false
	}
	return adapter == "" || isReady(s.adapters, adapter, now)
}

func isReady(items map[string]loadedItem, name string, now time.Time) bool {
	item, found := items[name]
	return found && !item.readyAt.After(now)
}

// ready returns the names of those items that are ready, sorted.
func (s *orderState) ready(items map[string]loadedItem, now time.Time) []string {
	names := slices.Sorted(maps.Keys(items))
	return slices.DeleteFunc(names, func(name string) bool { return !isReady(items, name, now) })
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
