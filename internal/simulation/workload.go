package simulation

import (
	"math"
	"math/rand/v2"
	"time"
)

// Workload is the list of programs of one run. The same seed gives the same programs for every
// policy and load; the load only scales the arrival times.
type Workload struct {
	Programs []*ProgramShape // in order of arrival
}

// ProgramShape describes the complete course of a program or sub-agent. The scheduler does not know
// it in advance.
type ProgramShape struct {
	Tenant  string
	Class   string
	Arrival float64   // in mean interarrival times; of root programs only
	Prefix  []Segment // content shared with other programs
	Turns   []Turn    // at least one
}

// Segment is a part of a prompt. Segments with equal Content have the same text.
type Segment struct {
	Content uint64
	Tokens  int64
}

// Turn is one model call and what happens before the next one. The Pause and Children of the last
// turn are ignored.
type Turn struct {
	InputTokens  int64 // message or tool result that the call appends to the prompt
	AnswerTokens int64
	Pause        time.Duration   // run time of the tool that the answer calls
	Children     []*ProgramShape // sub-agents that the answer spawns; the next turn waits for all of them
}

// programSource draws shapes of programs. It may keep state between draws, such as the matches that
// are currently played.
type programSource interface {
	draw(tenant, class string) *ProgramShape
}

// Arrival bursts: the arrival rate switches between calm and busy phases; its mean over time is 1.
const (
	busyShare        = 0.2 // fraction of the time
	busyRate         = 2.5 // arrivals per mean interarrival time
	calmRate         = (1 - busyShare*busyRate) / (1 - busyShare)
	meanBusyPrograms = 100.0 // mean number of programs in one busy phase
)

// NewWorkload draws the programs of a deployment from a seed. The number of programs must be at
// least 1.
func NewWorkload(deployment *Deployment, programs int, seed uint64) *Workload {
	arrivals := rand.New(rand.NewPCG(seed, 1))
	mix := rand.New(rand.NewPCG(seed, 2))
	source := deployment.newSource(rand.New(rand.NewPCG(seed, 3)))
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

// normalise scales the arrival times so that their mean rate is exactly 1 in this workload. A
// workload has few bursts, so the rate as drawn may be far from 1.
func (w *Workload) normalise() {
	last := w.Programs[len(w.Programs)-1].Arrival
	stretch := float64(len(w.Programs)) / last
	for _, program := range w.Programs {
		program.Arrival *= stretch
	}
}

// arrivals is a Poisson process whose rate switches between calm and busy phases.
type arrivals struct {
	random   *rand.Rand
	now      float64
	busy     bool
	switchAt float64
}

func newArrivals(random *rand.Rand) *arrivals {
	a := &arrivals{random: random}
	a.switchAt = a.random.ExpFloat64() * a.meanPhaseLength()
	return a
}

// meanPhaseLength returns the mean length of the current phase.
func (a *arrivals) meanPhaseLength() float64 {
	busyLength := meanBusyPrograms / busyRate
	if a.busy {
		return busyLength
	}
	return busyLength * (1 - busyShare) / busyShare
}

// next returns the time of the next arrival, in mean interarrival times.
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
		a.switchAt = a.now + a.random.ExpFloat64()*a.meanPhaseLength()
	}
}

// pickTenant picks a tenant's name with the probability of its share.
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

// pickClass picks a class's name with the probability of its share.
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

// sampler draws random sizes and durations for program sources.
type sampler struct{ random *rand.Rand }

// logNormal returns a log-normal value with the given median and sigma, clamped to the bounds.
func (d sampler) logNormal(median, sigma, minimum, maximum float64) float64 {
	return min(maximum, max(minimum, median*math.Exp(sigma*d.random.NormFloat64())))
}

// tokens returns a log-normal token count.
func (d sampler) tokens(median, sigma, minimum, maximum float64) int64 {
	return int64(d.logNormal(median, sigma, minimum, maximum))
}

// between returns a uniformly distributed integer within the bounds, both included.
func (d sampler) between(minimum, maximum int) int { return minimum + d.random.IntN(maximum-minimum+1) }

// chance returns true with the given probability.
func (d sampler) chance(probability float64) bool { return d.random.Float64() < probability }

// pauseDistribution is the distribution of tool run times: log-normal, with rare hangs of minutes.
type pauseDistribution struct {
	median          time.Duration
	sigma           float64
	hangProbability float64 // probability of a hang between minHang and maxPause
}

// Limits of pauses and the minimum length of a hang.
const (
	minPause = 50 * time.Millisecond
	maxPause = 5 * time.Minute
	minHang  = time.Minute
)

// pause draws the run time of a tool.
func (d sampler) pause(p pauseDistribution) time.Duration {
	if d.chance(p.hangProbability) {
		return minHang + time.Duration(d.random.Int64N(int64(maxPause-minHang)))
	}
	return time.Duration(d.logNormal(float64(p.median), p.sigma, float64(minPause), float64(maxPause)))
}
