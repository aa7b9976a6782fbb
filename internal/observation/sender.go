package observation

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// EngineReport is the report of an engine that this node observes.
type EngineReport struct {
	Number int // of the engine in its cell
	Report Report
}

// DigestSelector chooses the engine digests of each heartbeat. BeginRound must be called before
// the heartbeats of one round are filled in. Not safe for concurrent use.
type DigestSelector struct {
	setHash  uint32              // of the cell's engines
	engines  map[int]*sentDigest // by number
	informed map[string]uint64   // incarnation of each receiver that has got all digests
	alerted  map[int]time.Time   // when alerts were last sent, by number

	// Of the current round.
	observed    []EngineReport
	now         time.Time
	changes     []*wirepb.EngineDigest
	fullDigests []*wirepb.EngineDigest // computed on first use
}

// sentDigest is the last digest that was sent of one engine.
type sentDigest struct {
	report    Report
	sentAt    time.Time
	refreshes int
}

// NewDigestSelector returns a selector that has sent no digests.
func NewDigestSelector() *DigestSelector {
	s := &DigestSelector{}
	s.reset(0)
	return s
}

func (s *DigestSelector) reset(setHash uint32) {
	s.setHash = setHash
	s.engines = make(map[int]*sentDigest)
	s.informed = make(map[string]uint64)
	s.alerted = make(map[int]time.Time)
}

// BeginRound begins a round. setHash is the hash of the cell's engines, observed holds the reports
// that this node observes now, and alerts are the numbers of engines that are leaving and that this
// node does not observe.
func (s *DigestSelector) BeginRound(setHash uint32, observed []EngineReport, alerts []int, now time.Time) {
	if setHash != s.setHash {
		s.reset(setHash)
	}
	s.observed, s.now, s.changes, s.fullDigests = observed, now, nil, nil
	present := make(map[int]bool, len(observed))
	for _, engine := range observed {
		present[engine.Number] = true
		s.addChange(engine)
	}
	for number := range s.engines {
		if !present[number] {
			delete(s.engines, number)
		}
	}
	s.addAlerts(alerts)
}

// addChange adds an engine's digest to the round if it is due.
func (s *DigestSelector) addChange(engine EngineReport) {
	last := s.engines[engine.Number]
	if last == nil {
		last = &sentDigest{refreshes: detailsEvery}
		s.engines[engine.Number] = last
	}
	isChange := last.sentAt.IsZero() || differsMaterially(last.report, engine.Report)
	if !isChange && s.now.Sub(last.sentAt) < RefreshAfter {
		return
	}
	digest := Encode(engine.Number, engine.Report, s.now)
	last.refreshes++
	if last.refreshes >= detailsEvery || !sameDetails(last.report.Load, engine.Report.Load) {
		digest.Details = EncodeDetails(engine.Report.Load)
		last.refreshes = 0
	}
	last.report, last.sentAt = engine.Report, s.now
	s.changes = append(s.changes, digest)
}

// addAlerts adds alerts that are new, or were last sent RefreshAfter ago.
func (s *DigestSelector) addAlerts(numbers []int) {
	current := make(map[int]time.Time, len(numbers))
	for _, number := range numbers {
		current[number] = s.alerted[number]
		if s.now.Sub(s.alerted[number]) >= RefreshAfter {
			current[number] = s.now
			s.changes = append(s.changes, &wirepb.EngineDigest{Number: uint32(number), Leaving: true, Alert: true})
		}
	}
	s.alerted = current
}

// FillHeartbeat adds the round's digests to a heartbeat: all of them, with details,
// if this incarnation of the receiver has got none yet, else those that changed.
func (s *DigestSelector) FillHeartbeat(heartbeat *wirepb.Heartbeat, receiver string, incarnation uint64) {
	digests := s.changes
	if s.informed[receiver] != incarnation {
		s.informed[receiver] = incarnation
		digests = s.allDigests()
	}
	if len(digests) > 0 {
		heartbeat.Engines = digests
		heartbeat.EngineSet = s.setHash
	}
}

// allDigests returns the digests of all observed engines with details, and
// the round's alerts. It encodes the reports that were sent last, so that all
// receivers have the same reports and the next change is evaluated alike for all.
func (s *DigestSelector) allDigests() []*wirepb.EngineDigest {
	if s.fullDigests != nil {
		return s.fullDigests
	}
	for _, engine := range s.observed {
		last := s.engines[engine.Number].report
		digest := Encode(engine.Number, last, s.now)
		digest.Details = EncodeDetails(last.Load)
		s.fullDigests = append(s.fullDigests, digest)
	}
	for _, digest := range s.changes {
		if digest.GetAlert() {
			s.fullDigests = append(s.fullDigests, digest)
		}
	}
	return s.fullDigests
}

// HeartbeatFailed records that a heartbeat did not reach the receiver, so that the next
// one contains all digests again.
func (s *DigestSelector) HeartbeatFailed(receiver string) { delete(s.informed, receiver) }
