package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Workload is the programs of one run. The same seed gives the same programs
// whatever the policy and the load; load only scales the times of arrival.
type Workload struct {
	Programs []*ProgramShape // in order of arrival
}

// ProgramShape is the whole course of a program or sub-agent, which the
// scheduler does not know ahead of time.
type ProgramShape struct {
	Tenant  string
	Class   string
	Arrival float64   // in mean times between arrivals; of root programs
	Prefix  []Segment // content that other programs have too
	Turns   []Turn    // at least one
}

// Segment is a piece of prompt; equal contents are equal text.
type Segment struct {
	Content uint64
	Tokens  int64
}

// Turn is one model call and what follows it before the next. Nothing follows
// the last one: its Pause and Children do not count.
type Turn struct {
	InputTokens  int64 // message or tool result that the call adds to the prompt
	AnswerTokens int64
	Pause        time.Duration   // of the tool that the answer calls
	Children     []*ProgramShape // sub-agents that the answer spawns; the next turn waits for all
}

// programSource draws shapes of programs. It may keep state between them,
// such as which matches are being played.
type programSource interface {
	draw(tenant, class string) *ProgramShape
}

// Bursts: arrivals switch between a calm and a busy rate; the mean over time
// is 1.
const (
	busyShare      = 0.2 // of the time
	busyRate       = 2.5 // arrivals per mean time between arrivals
	calmRate       = (1 - busyShare*busyRate) / (1 - busyShare)
	busyProgramRun = 100.0 // mean programs in one busy time
)

// NewWorkload draws the programs of a deployment from a seed.
func NewWorkload(deployment *Deployment, programs int, seed uint64) *Workload {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	mix := rand.New(rand.NewPCG(seed, 2))
	source := deployment.generator(rand.New(rand.NewPCG(seed, 3)))
	workload := &Workload{}
	times := newArrivals(arrivals)
	for range programs {
		tenant := pickTenant(mix, deployment.Tenants)
		class := pickClass(mix, deployment.Classes)
		shape := source.draw(tenant, class)
		shape.Arrival = times.next()
		workload.Programs = append(workload.Programs, shape)
	}
	workload.normalise()
	return workload
}

// normalise stretches the times of arrival so that their mean rate is 1 in
// this very workload: bursts are few, so it may be far from 1 as drawn.
func (w *Workload) normalise() {
	last := w.Programs[len(w.Programs)-1].Arrival
	stretch := float64(len(w.Programs)) / last
	for _, program := range w.Programs {
		program.Arrival *= stretch
	}
}

// arrivals is a Poisson process whose rate switches between calm and busy.
type arrivals struct {
	random   *rand.Rand
	now      float64
	busy     bool
	switchAt float64
}

func newArrivals(random *rand.Rand) *arrivals {
	a := &arrivals{random: random}
	a.switchAt = a.random.ExpFloat64() * a.meanPhase()
	return a
}

// meanPhase returns the mean length of the current phase.
func (a *arrivals) meanPhase() float64 {
	busy := busyProgramRun / busyRate
	if a.busy {
		return busy
	}
	return busy * (1 - busyShare) / busyShare
}

// next returns the time of the next arrival.
func (a *arrivals) next() float64 {
	for {
		rate := calmRate
		if a.busy {
			rate = busyRate
		}
		at := a.now + a.random.ExpFloat64()/rate
		if at <= a.switchAt {
			a.now = at
			return at
		}
		a.now = a.switchAt
		a.busy = !a.busy
		a.switchAt = a.now + a.random.ExpFloat64()*a.meanPhase()
	}
}

func pickTenant(random *rand.Rand, tenants []Tenant) string {
	point := random.Float64()
	for _, tenant := range tenants {
		point -= tenant.Share
		if point < 0 {
			return tenant.Name
		}
	}
	return tenants[len(tenants)-1].Name
}

func pickClass(random *rand.Rand, classes []Class) string {
	point := random.Float64()
	for _, class := range classes {
		point -= class.Share
		if point < 0 {
			return class.Name
		}
	}
	return classes[len(classes)-1].Name
}

// draw helps sources to draw sizes and times.
type draw struct{ random *rand.Rand }

// logNormal returns a value with a median and a spread, within bounds.
func (d draw) logNormal(median, sigma, least, most float64) float64 {
	return min(most, max(least, median*math.Exp(sigma*d.random.NormFloat64())))
}

// tokens is logNormal for token counts.
func (d draw) tokens(median, sigma, least, most float64) int64 {
	return int64(d.logNormal(median, sigma, least, most))
}

// between returns a whole number within bounds, both included.
func (d draw) between(least, most int) int { return least + d.random.IntN(most-least+1) }

// chance returns true with a probability.
func (d draw) chance(probability float64) bool { return d.random.Float64() < probability }

// pause is how long tools take: log-normal, and now and then some minutes.
type pause struct {
	median time.Duration
	sigma  float64
	hang   float64 // chance of some minutes
}

// Bounds of pauses.
const (
	shortestPause = 50 * time.Millisecond
	longestPause  = 5 * time.Minute
	shortestHang  = time.Minute
)

func (d draw) pause(p pause) time.Duration {
	if d.chance(p.hang) {
		return shortestHang + time.Duration(d.random.Int64N(int64(longestPause-shortestHang)))
	}
	return time.Duration(d.logNormal(float64(p.median), p.sigma, float64(shortestPause), float64(longestPause)))
}
