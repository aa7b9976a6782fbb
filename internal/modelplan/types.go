package modelplan

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/backend"
)

// Model is the bundle's configuration of a model.
type Model struct {
	Name        string
	Version     string // version to load; empty = any version that the engine has
	MinReady    int    // number of engines on which the bundle requires the model to be ready
	WeightBytes int64  // bytes that a load reads from the weight store
	Adapters    []Adapter
}

// Adapter is kept loaded on every engine that has its model.
type Adapter struct {
	Name    string
	Version string // version to load; empty = any version that the engine has
}

// Engine is one engine of the cell: its configuration in the bundle, and its
// last report.
type Engine struct {
	Name       string
	Zone       string
	Allowed    []string // models that the bundle allows on it
	MaxModels  int      // number of models that fit at the same time
	WantedRole string   // role in the bundle; empty = the role is not changed
	Usable     bool     // its report is fresh, and it is not leaving
	Report     backend.Load
}

// Input is everything that one plan depends on.
type Input struct {
	Now     time.Time
	Models  []Model
	Engines []Engine
	Demand  []Demand // summed over the members of the cell
	// DemandComplete reports whether every member that may be serving has
	// reported its demand. Otherwise no copy is removed.
	DemandComplete bool
}

// Order is one order to one engine. Reason is for human readers.
type Order struct {
	Engine string
	Order  backend.Order
	Reason string
}

// epochShift is the number of low bits of a fence that hold the order number:
// 2^32 orders in each epoch.
const epochShift = 32

// Fence returns the fence of the order with the given number in a planner's epoch.
func Fence(epoch uint64, number uint32) uint64 { return epoch<<epochShift | uint64(number) }

// EpochOf returns the epoch of the planner that issued the fence.
func EpochOf(fence uint64) uint64 { return fence >> epochShift }
