// Package fleet runs many hollow nodes in one process and measures what
// control costs each of them: processor time, memory, bytes between nodes,
// table operations and goroutines. A hollow node runs the real control code
// (membership over TCP on loopback, bundle keeping, engine observation, the
// table client and the maintenance scan) but serves no callers.
package fleet

import "time"

// Defaults of Options: the size that the system is built towards.
const (
	DefaultCellSize       = 16
	DefaultEnginesPerNode = 2700.0 / 420.0
	DefaultMeasure        = 6 * time.Second
	DefaultSettle         = 8 * time.Second
	DefaultTenants        = 470
	DefaultModels         = 20
	DefaultEngines        = 2700
	DefaultMachines       = 420 + 2700
	DefaultPrograms       = 150_000
	DefaultFleetNodes     = 420
	DefaultCacheEvents    = 144.0
)

// Options say what to run. The zero value of a field takes its default.
type Options struct {
	CellSize       int           // nodes in a cell
	EnginesPerNode float64       // engines of a cell over its nodes
	Measure        time.Duration // length of one steady measurement
	// Settle passes between the start and a measurement. The default is longer
	// than it takes the members to learn of each other and their engines.
	Settle      time.Duration
	Tenants     int     // in the bundle
	Models      int     // in the bundle
	Engines     int     // in the bundle, at least those of the cells that run
	Machines    int     // in the machine list
	CacheEvents float64 // cache events of one engine in a second
	// ProgramsPerNode is how many program rows stand in the table for each
	// node, for the maintenance scan.
	ProgramsPerNode int
}

func (o Options) withDefaults() Options {
	setDefault(&o.CellSize, DefaultCellSize)
	setDefault(&o.EnginesPerNode, DefaultEnginesPerNode)
	setDefault(&o.Measure, DefaultMeasure)
	setDefault(&o.Settle, DefaultSettle)
	setDefault(&o.Tenants, DefaultTenants)
	setDefault(&o.Models, DefaultModels)
	setDefault(&o.Engines, DefaultEngines)
	setDefault(&o.Machines, DefaultMachines)
	setDefault(&o.CacheEvents, DefaultCacheEvents)
	setDefault(&o.ProgramsPerNode, DefaultPrograms/DefaultFleetNodes)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
