package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// Names of the deployments, as DeploymentNamed takes them.
const (
	IbarraName = "ibarra"
	CwmwlName  = "cwmwl"
)

// Deployment describes the engines, zones and workload of one user.
type Deployment struct {
	Name           string
	Zones          []string
	DistanceMillis float64 // one-way network latency between any two zones
	Engines        int     // assigned to the zones round robin
	Engine         engine.ModelOptions
	Model          string
	Tenants        []Tenant
	Classes        []Class

	// newSource returns the source that draws the shapes of this deployment's programs.
	newSource func(random *rand.Rand) programSource
}

// Tenant is one customer. Share is its fraction of the arriving programs.
type Tenant struct {
	Name   string
	Weight float64
	Share  float64
}

// Class describes one kind of program.
type Class struct {
	Name      string
	Worth     float64       // of one completed program
	Share     float64       // fraction of the arriving programs
	Deadline  time.Duration // soft deadline of the whole program
	MaxWall   time.Duration // client timeout of the whole program
	MaxTokens int64         // answer limit that callers set
}

// engineOptions returns the options of every simulated engine: an engine of a small operator, with
// the default batch size of the stand-in engine.
func engineOptions() engine.ModelOptions {
	return engine.ModelOptions{
		MaxRunning:    engine.DefaultMaxRunning,
		CacheTokens:   1 << 17,
		PrefillRate:   8000,
		DecodeRate:    60,
		BatchSlowdown: 0.05,
		HoldTTL:       engine.DefaultHoldTTL,
	}
}

// Ibarra returns the deployment of Contadores Ibarra Villasenor e Hijos: four zones in the Bajio, ten
// model engines.
func Ibarra() Deployment {
	return Deployment{
		Name:           IbarraName,
		Zones:          []string{"leon-a", "leon-b", "irapuato", "celaya"},
		DistanceMillis: 1.5,
		Engines:        10,
		Engine:         engineOptions(),
		Model:          "bookkeeper",
		Tenants: []Tenant{
			{Name: "fonderas", Weight: 1, Share: 0.4},
			{Name: "plumbers", Weight: 1, Share: 0.3},
			{Name: "seamstresses", Weight: 1, Share: 0.2},
			{Name: "taxis", Weight: 1, Share: 0.1},
		},
		Classes: []Class{
			{Name: "client-assistant", Worth: 1, Share: 0.85, Deadline: time.Minute, MaxWall: 10 * time.Minute, MaxTokens: 512},
			{Name: "filing-agent", Worth: 8, Share: 0.15, Deadline: 30 * time.Minute, MaxWall: 2 * time.Hour, MaxTokens: 512},
		},
		newSource: newIbarraSource,
	}
}

// Cwmwl returns the deployment of Cwmwl Clipiau Ltd: three zones in Wales, ten agent engines.
func Cwmwl() Deployment {
	return Deployment{
		Name:           CwmwlName,
		Zones:          []string{"caerdydd", "abertawe", "wrecsam"},
		DistanceMillis: 0.5,
		Engines:        10,
		Engine:         engineOptions(),
		Model:          "editor",
		Tenants: []Tenant{
			{Name: "television", Weight: 1, Share: 0.5},
			{Name: "online", Weight: 1, Share: 0.3},
			{Name: "radio", Weight: 1, Share: 0.2},
		},
		Classes: []Class{
			{Name: "reel-request", Worth: 3, Share: 0.7, Deadline: 5 * time.Minute, MaxWall: 30 * time.Minute, MaxTokens: 512},
			{Name: "commentary-request", Worth: 1, Share: 0.3, Deadline: time.Minute, MaxWall: 10 * time.Minute, MaxTokens: 768},
		},
		newSource: newCwmwlSource,
	}
}

// DeploymentNamed returns the deployment with the given name, or an error if there is none.
func DeploymentNamed(name string) (Deployment, error) {
	switch name {
	case IbarraName:
		return Ibarra(), nil
	case CwmwlName:
		return Cwmwl(), nil
	}
	return Deployment{}, errors.Newf("unknown deployment %q", name)
}

// class returns the class with the given name. It panics if there is none.
func (d *Deployment) class(name string) *Class {
	for i := range d.Classes {
		if d.Classes[i].Name == name {
			return &d.Classes[i]
		}
	}
	panic(fmt.Sprintf("deployment %s has no class %q", d.Name, name))
}

// slots returns how many calls all engines together run at the same time.
func (d *Deployment) slots() int { return d.Engines * d.Engine.MaxRunning }
