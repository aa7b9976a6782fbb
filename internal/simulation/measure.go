package simulation

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/standin/engine"
)

// Range and precision of the latency histograms, in milliseconds.
const (
	minLatency        = 1
	maxLatency        = int64(6 * time.Hour / time.Millisecond)
	significantDigits = 3
)

// measure collects the statistics of one run.
type measure struct {
	deployment *Deployment
	classes    []*classMeasure // in the order of the deployment's classes
	tenants    []*tenantMeasure
	overall    *hdrhistogram.Histogram
	unloaded   *hdrhistogram.Histogram
	added      *hdrhistogram.Histogram // latency beyond the unloaded one
	everStored map[uint64]struct{}     // blocks that any engine has cached at any time
	refusals   map[api.Code]int64

	promptTokens  int64
	cachedTokens  int64
	wastedTokens  int64
	calls         int64 // attempts submitted to schedulers
	answered      int64
	cachesDropped int64 // caches dropped during a pause of their program
	callRefusals  int64
	lastArrival   time.Time
	endTimes      []time.Time // of root programs, in order
}

// classMeasure holds the statistics of the root programs of one class.
type classMeasure struct {
	class     *Class
	latency   *hdrhistogram.Histogram
	unloaded  *hdrhistogram.Histogram
	added     *hdrhistogram.Histogram
	completed int64
	inTime    int64
	refused   int64
}

// tenantMeasure sums up the programs of one tenant. The speed of a program is its unloaded latency
// divided by its actual latency, and 0 for a rejected program.
type tenantMeasure struct {
	name     string
	programs int64
	speedSum float64
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
	return hdrhistogram.New(minLatency, maxLatency, significantDigits)
}

// recordStart counts the prompt of a call when an engine admits it. Wasted tokens are those that the
// engine must prefill although some engine, the same or another, has cached them before.
func (m *measure) recordStart(c *call) {
	m.promptTokens += c.prompt.tokens
	m.cachedTokens += c.cachedTokens
	for _, block := range c.prompt.blocks[c.cachedTokens/engine.BlockTokens:] {
		if _, storedBefore := m.everStored[block]; storedBefore {
			m.wastedTokens += engine.BlockTokens
		}
	}
}

// recordStored records that an engine has cached blocks.
func (m *measure) recordStored(blocks []uint64) {
	for _, block := range blocks {
		m.everStored[block] = struct{}{}
	}
}

// recordRefusal counts one rejection of a call.
func (m *measure) recordRefusal(code api.Code) {
	m.callRefusals++
	m.refusals[code]++
}

// recordEnd counts the end of a root program. The latency of a rejected program is at least the
// client timeout.
func (m *measure) recordEnd(p *program) {
	now := p.run.clock.now
	m.endTimes = append(m.endTimes, now)
	class := m.classMeasure(p.class)
	tenant := m.tenantMeasure(p.shape.Tenant)
	tenant.programs++
	latency := now.Sub(p.started)
	unloaded := unloadedLatency(m.deployment, p.shape)
	switch {
	case p.rejectionCode != api.OK:
		class.refused++
		latency = max(latency, p.class.MaxWall)
	default:
		class.completed++
		tenant.speedSum += unloaded.Seconds() / latency.Seconds()
		if latency <= p.class.Deadline {
			class.inTime++
		}
	}
	recordLatency(class.latency, latency)
	recordLatency(class.unloaded, unloaded)
	recordLatency(class.added, latency-unloaded)
	recordLatency(m.overall, latency)
	recordLatency(m.unloaded, unloaded)
	recordLatency(m.added, latency-unloaded)
}

// recordLatency adds a latency to a histogram, clamped to the histogram's range.
func recordLatency(histogram *hdrhistogram.Histogram, latency time.Duration) {
	_ = histogram.RecordValue(max(0, min(maxLatency, latency.Milliseconds())))
}

func (m *measure) classMeasure(class *Class) *classMeasure {
	for _, statistics := range m.classes {
		if statistics.class == class {
			return statistics
		}
	}
	panic("class of another deployment: " + class.Name)
}

func (m *measure) tenantMeasure(name string) *tenantMeasure {
	for _, statistics := range m.tenants {
		if statistics.name == name {
			return statistics
		}
	}
	panic("tenant of another deployment: " + name)
}

// unloadedLatency returns how long a program takes without other load on one engine that initially
// has none of the program's content cached and never evicts any.
func unloadedLatency(deployment *Deployment, shape *ProgramShape) time.Duration {
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
		wait := turn.Pause
		for _, child := range turn.Children {
			wait = max(wait, unloadedLatency(deployment, child))
		}
		total += wait
	}
	return total + time.Duration(seconds*float64(time.Second))
}
