package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// Bounds and precision of latency histograms, in milliseconds.
const (
	leastLatency      = 1
	mostLatency       = int64(6 * time.Hour / time.Millisecond)
	significantDigits = 3
)

// measure gathers what a run is judged by.
type measure struct {
	deployment *Deployment
	classes    []*classMeasure // as in the deployment
	tenants    []*tenantMeasure
	overall    *hdrhistogram.Histogram
	unloaded   *hdrhistogram.Histogram
	added      *hdrhistogram.Histogram // latency beyond the unloaded one
	everStored map[uint64]struct{}     // blocks that any engine has ever cached
	refusals   map[api.Code]int64

	promptTokens int64
	cachedTokens int64
	wastedTokens int64
	calls        int64 // attempts submitted to schedulers
	answered     int64
	drops        int64 // caches that were dropped over a pause
	callRefusals int64
	lastArrival  time.Time
	ends         []time.Time // of root programs, in order
}

// classMeasure is about the root programs of one class.
type classMeasure struct {
	class     *Class
	latency   *hdrhistogram.Histogram
	unloaded  *hdrhistogram.Histogram
	added     *hdrhistogram.Histogram
	completed int64
	inTime    int64
	refused   int64
}

// tenantMeasure sums up one tenant's programs. Speed is the unloaded latency
// over the real one, 0 for a refused program.
type tenantMeasure struct {
	name     string
	programs int64
	speed    float64
}

func newMeasure(deployment *Deployment) *measure {
	m := &measure{
		deployment: deployment,
		overall:    newHistogram(),
		unloaded:   newHistogram(),
		added:      newHistogram(),
		everStored: make(map[uint64]struct{}),
		refusals:   make(map[api.Code]int64),
	}
	for i := range deployment.Classes {
		m.classes = append(m.classes, &classMeasure{
			class:    &deployment.Classes[i],
			latency:  newHistogram(),
			unloaded: newHistogram(),
			added:    newHistogram(),
		})
	}
	for _, tenant := range deployment.Tenants {
		m.tenants = append(m.tenants, &tenantMeasure{name: tenant.Name})
	}
	return m
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(leastLatency, mostLatency, significantDigits)
}

// started counts a call's prompt when an engine admits it. Its wasted tokens
// are those that it must prefill although some engine, the same or another,
// has had them in its cache before.
func (m *measure) started(c *call) {
	m.promptTokens += c.prompt.tokens
	m.cachedTokens += c.cachedTokens
	for _, block := range c.prompt.blocks[c.cachedTokens/engine.BlockTokens:] {
		if _, before := m.everStored[block]; before {
			m.wastedTokens += engine.BlockTokens
		}
	}
}

// stored notes that an engine has cached blocks.
func (m *measure) stored(blocks []uint64) {
	for _, block := range blocks {
		m.everStored[block] = struct{}{}
	}
}

// refused counts one refusal of a call.
func (m *measure) refused(code api.Code) {
	m.callRefusals++
	m.refusals[code]++
}

// ended counts the end of a root program. A refused one counts with the time
// that its caller was ready to wait.
func (m *measure) ended(p *program) {
	now := p.run.clock.now
	m.ends = append(m.ends, now)
	class := m.classMeasure(p.class)
	tenant := m.tenantMeasure(p.shape.Tenant)
	tenant.programs++
	latency := now.Sub(p.started)
	alone := unloaded(m.deployment, p.shape)
	switch {
	case p.lost != api.OK:
		class.refused++
		latency = max(latency, p.class.MaxWall)
	default:
		class.completed++
		tenant.speed += alone.Seconds() / latency.Seconds()
		if latency <= p.class.Deadline {
			class.inTime++
		}
	}
	record(class.latency, latency)
	record(class.unloaded, alone)
	record(class.added, latency-alone)
	record(m.overall, latency)
	record(m.unloaded, alone)
	record(m.added, latency-alone)
}

// record adds a latency to a histogram, cut to the histogram's bounds.
func record(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(max(0, min(mostLatency, latency.Milliseconds())))
}

func (m *measure) classMeasure(class *Class) *classMeasure {
	for _, measured := range m.classes {
		if measured.class == class {
			return measured
		}
	}
	panic("class of another deployment: " + class.Name)
}

func (m *measure) tenantMeasure(name string) *tenantMeasure {
	for _, measured := range m.tenants {
		if measured.name == name {
			return measured
		}
	}
	panic("tenant of another deployment: " + name)
}

// unloaded returns how long a program would take alone on an engine that has
// none of its content cached at first and all that it has seen afterwards.
func unloaded(deployment *Deployment, shape *ProgramShape) time.Duration {
	seconds := 0.0
	for _, segment := range shape.Prefix {
		seconds += float64(segment.Tokens) / deployment.Engine.PrefillRate
	}
	total := time.Duration(0)
	for i := range shape.Turns {
		turn := &shape.Turns[i]
		seconds += float64(turn.InputTokens) / deployment.Engine.PrefillRate
		seconds += float64(turn.AnswerTokens) / deployment.Engine.DecodeRate
		if i == len(shape.Turns)-1 {
			break
		}
		between := turn.Pause
		for _, child := range turn.Children {
			between = max(between, unloaded(deployment, child))
		}
		total += between
	}
	return total + time.Duration(seconds*float64(time.Second))
}
