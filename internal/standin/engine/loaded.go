package engine

import (
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// loadedItem is a version of a model or adapter that serves from readyAt on.
// Until then the previous version continues to serve if there was room to keep it.
type loadedItem struct {
	version  string
	readyAt  time.Time
	previous *loadedItem
}

// servingVersion returns the item or its previous version, whichever serves
// now; nil if neither does.
func (i *loadedItem) servingVersion(now time.Time) *loadedItem {
	if i == nil || !i.readyAt.After(now) {
		return i
	}
	return i.previous.servingVersion(now)
}

// orderState is the state set by administrative orders.
type orderState struct {
	fence     uint64
	role      string
	loadTime  time.Duration
	maxModels int // 0 = no limit
	models    map[string]*loadedItem
	adapters  map[string]*loadedItem
}

// newOrderState returns a state with as many of the models ready as fit.
func newOrderState(options Options, now time.Time) *orderState {
	state := &orderState{
		role:      options.Role,
		loadTime:  options.LoadTime,
		maxModels: options.MaxModels,
		models:    map[string]*loadedItem{},
		adapters:  map[string]*loadedItem{},
	}
	for _, model := range options.Models {
		if state.hasRoom(now) {
			state.models[model] = &loadedItem{readyAt: now}
		}
	}
	return state
}

// apply executes an order. Loading a version that is already loaded or
// loading changes nothing.
func (s *orderState) apply(order backend.Order, now time.Time) *refusal {
	if order.Fence < s.fence {
		return &refusal{http.StatusConflict, backend.WireFenced, "a higher fence was seen"}
	}
	switch order.Action {
	case backend.ActionRaiseFence:
	case backend.ActionLoadModel:
		if !s.loadModel(order.Model, order.Version, now) {
			s.fence = order.Fence
			return &refusal{http.StatusInsufficientStorage, backend.WireRefused, "no room for another model"}
		}
	case backend.ActionUnloadModel:
		delete(s.models, order.Model)
	case backend.ActionLoadAdapter:
		s.load(s.adapters, order.Adapter, order.Version, true, now)
	case backend.ActionUnloadAdapter:
		delete(s.adapters, order.Adapter)
	case backend.ActionSetRole:
		s.role = order.Role
	default:
		return &refusal{http.StatusBadRequest, backend.WireInvalid, "unknown action"}
	}
	s.fence = order.Fence
	return nil
}

// loadModel starts to load a model; it returns false if there is no room. A
// new version of a loaded model uses a free slot if there is one, and
// otherwise replaces the loaded version.
func (s *orderState) loadModel(name, version string, now time.Time) bool {
	room := s.hasRoom(now)
	if s.models[name] == nil && !room {
		return false
	}
	s.load(s.models, name, version, room, now)
	return true
}

// load starts to load an item unless this version is already loaded or loading.
func (s *orderState) load(items map[string]*loadedItem, name, version string, keepPrevious bool, now time.Time) {
	current := items[name]
	if current != nil && current.version == version {
		return
	}
	next := &loadedItem{version: version, readyAt: now.Add(s.loadTime)}
	if keepPrevious {
		next.previous = current.servingVersion(now)
	}
	items[name] = next
}

// hasRoom reports whether there is a free slot for another model.
func (s *orderState) hasRoom(now time.Time) bool {
	return s.maxModels == 0 || len(states(s.models, now)) < s.maxModels
}

// serves reports whether a model, and an adapter if one is named, are ready.
func (s *orderState) serves(model, adapter string, now time.Time) bool {
	if s.models[model].servingVersion(now) == nil {
		return false
	}
	return adapter == "" || s.adapters[adapter].servingVersion(now) != nil
}

// ready returns the names of the items that are ready, sorted.
func ready(items map[string]*loadedItem, now time.Time) []string {
	names := slices.Sorted(maps.Keys(items))
	return slices.DeleteFunc(names, func(name string) bool { return items[name].servingVersion(now) == nil })
}

// states returns every version that occupies a slot, sorted by name.
func states(items map[string]*loadedItem, now time.Time) []backend.WeightsState {
	var list []backend.WeightsState
	for _, name := range slices.Sorted(maps.Keys(items)) {
		item := items[name]
		serving := item.servingVersion(now)
		if serving != nil && serving != item {
			list = append(list, backend.WeightsState{Name: name, Version: serving.version, Ready: true})
		}
		list = append(list, backend.WeightsState{Name: name, Version: item.version, Ready: serving == item})
	}
	return list
}
