package soak

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Bounds of the check on resumed streams.
const (
	minResumed      = 12 // resumed streams below which their share is not checked
	minResumedRatio = 0.5
	minEngines      = 2 // minimum of engines of a version that accept new work, for its streams to be expected to continue
)

// VersionedEvent returns an event's data with the software version of its engine.
func VersionedEvent(data, version string) string { return data + " " + version }

// splitVersion returns the data of an event, and the version of its engine.
func splitVersion(event string) (data, version string) {
	last := strings.LastIndexByte(event, ' ')
	if last < 0 {
		return event, ""
	}
	return event[:last], event[last+1:]
}

// streamRecord is what callers received of one stream over all its attempts.
type streamRecord struct {
	versions []string // distinct versions of its events
	parts    []string // descriptions of the attempts that received events, in order
	last     time.Duration
}

// StreamCounts counts attempts, and those of them that got an event.
type StreamCounts struct {
	All    int `json:"all"`
	Events int `json:"events"`
}

func (s *StreamCounts) add(gotEvent bool) {
	s.All++
	if gotEvent {
		s.Events++
	}
}

func (s StreamCounts) ratio() float64 { return float64(s.Events) / float64(max(1, s.All)) }

// streams holds the state of the checks on software versions.
type streams struct {
	records map[string]*streamRecord // by the attempt that started the stream
	engines map[string]string        // versions of the engines of serviceModels that accept new work
	begun   StreamCounts             // new streams, at connected processes
	resumed StreamCounts             // resumed streams that are expected to continue
}

func newStreams() streams {
	return streams{records: make(map[string]*streamRecord), engines: make(map[string]string)}
}

// dropExpired drops streams that no caller resumes any more.
func (s *streams) dropExpired(now time.Duration) {
	maps.DeleteFunc(s.records, func(_ string, record *streamRecord) bool { return now-record.last > attemptRetention })
}

// EngineVersion records the software version of an engine of serviceModels that accepts new work.
func (c *Checker) EngineVersion(engine, version string) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.streams.engines[engine] = version
}

// removeEngine records that an engine accepts no new work.
func (s *streams) removeEngine(engine string) { delete(s.engines, engine) }

// serving returns the number of engines of a version that accept new work.
func (s *streams) serving(version string) int {
	count := 0
	for _, engineVersion := range s.engines {
		if engineVersion == version {
			count++
		}
	}
	return count
}

// checkVersions checks that all events of a stream come from engines of one version, and counts streams that continue.
// The caller holds the mutex.
func (c *Checker) checkVersions(now time.Duration, a *attempt, outcome Outcome) {
	if !a.Repeatable || a.Events == 0 {
		return
	}
	firstID := a.ID
	if a.ResumesID != "" {
		firstID = a.ResumesID
	}
	record := c.streams.records[firstID]
	if record == nil {
		record = &streamRecord{}
		c.streams.records[firstID] = record
	}
	c.countStream(now, a, outcome, record)
	record.last = now
	if len(outcome.Events) > 0 {
		record.parts = append(record.parts, describePart(a, outcome.Events))
	}
	for _, event := range outcome.Events {
		if _, version := splitVersion(event); !slices.Contains(record.versions, version) {
			record.versions = append(record.versions, version)
		}
	}
	if len(outcome.Events) > 0 {
		c.check(len(record.versions) == 1, OneVersion, now, a, "", "stream %s has events of versions %q: %s", firstID, record.versions, strings.Join(record.parts, "; "))
	}
}

// describePart describes which versions' events an attempt received, at which process and from which engines.
func describePart(a *attempt, events []string) string {
	versions := make([]string, 0, len(events))
	for _, event := range events {
		_, version := splitVersion(event)
		versions = append(versions, version)
	}
	process := a.Process
	if a.Build != "" {
		process += " (" + a.Build + ")"
	}
	return fmt.Sprintf("%s at %s got %s, sent at %.3f s, ran at %s", a.ID, process, strings.Join(versions, " "), a.sent.Seconds(), strings.Join(a.ranAt, ", "))
}

// countStream counts an attempt at a connected process while no zone is evacuated: one that starts a stream, or one
// that resumes a stream whose version has at least minEngines engines.
func (c *Checker) countStream(now time.Duration, a *attempt, outcome Outcome, record *streamRecord) {
	if !c.bounds.undisturbed(a.Process, a.sent, now, false) || len(c.bounds.evacuations) > 0 {
		return
	}
	gotEvent := len(outcome.Events) > 0
	switch {
	case a.ResumesID == "":
		c.streams.begun.add(gotEvent)
	case len(record.versions) == 1 && c.streams.serving(record.versions[0]) >= minEngines:
		c.streams.resumed.add(gotEvent)
	}
}

// StreamTotals returns the counts of new streams, and of resumed ones that were expected to continue.
func (c *Checker) StreamTotals() (begun, resumed StreamCounts) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.streams.begun, c.streams.resumed
}

// CheckResumedShare checks the share of streams that continued over the whole soak.
func (c *Checker) CheckResumedShare(now time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	resumed, begun := c.streams.resumed, c.streams.begun
	if resumed.All < minResumed {
		return
	}
	c.check(resumed.ratio() >= minResumedRatio*begun.ratio(), StreamResumes, now, nil, "", "%d of %d streams that were taken up went on, %d of %d new ones began",
		resumed.Events, resumed.All, begun.Events, begun.All)
}
