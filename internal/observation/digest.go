// Package observation spreads what one node observes of an engine to the
// other members of its cell. Each engine has one observer at a time, which
// polls it and adds a digest of its load to its heartbeats. It does so when the load
// changed materially, and periodically in any case, so that the age of the other members'
// data is bounded. All of it is a hint: a wrong or late digest costs
// time, never correctness.
//
// Digests number the engines of a cell by their names in order. They carry a hash of
// those names, so that members with another configuration ignore the numbers.
package observation

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Units of a digest.
const (
	ageUnit         = 10 * time.Millisecond
	fillUnits       = 64  // cache_fill of a full cache
	cacheEventsUnit = 256 // cache events per unit of cache_events
)

// Report is the state of one engine as observed.
type Report struct {
	Load        backend.Load
	ObservedAt  time.Time // when the engine reported Load; zero: never
	Reachable   bool      // the latest poll succeeded
	CacheEvents uint64    // events observed since the engine started
}

// EngineSetHash returns a hash of the names of a cell's engines, which must be sorted.
func EngineSetHash(names []string) uint32 {
	var digest xxhash.Digest
	digest.Reset()
	for _, name := range names {
		_, _ = digest.WriteString(name + "\n") // never fails
	}
	return uint32(digest.Sum64())
}

// Encode returns the digest of a report, without its details.
func Encode(number int, report Report, now time.Time) *wirepb.EngineDigest {
	return &wirepb.EngineDigest{
		Number:          uint32(number),
		Running:         count(report.Load.Running),
		Waiting:         count(report.Load.Waiting),
		CacheFill:       cacheFill(report.Load),
		CacheEvents:     uint32(report.CacheEvents / cacheEventsUnit),
		AgeTensOfMillis: encodeAge(now.Sub(report.ObservedAt)),
		Unreachable:     !report.Reachable,
		Leaving:         report.Load.Leaving,
	}
}

// EncodeDetails returns the part of a report that rarely changes.
func EncodeDetails(load backend.Load) *wirepb.EngineDetails {
	return &wirepb.EngineDetails{
		MaxRunning:             count(load.MaxRunning),
		CacheCapacityTokens:    uint64(max(0, load.CacheCapacityTokens)),
		PrefillTokensPerSecond: uint32(max(0, min(load.PrefillTokensPerSec, math.MaxUint32))),
		DecodeTokensPerSecond:  float32(load.DecodeTokensPerSec),
		Models:                 load.Models,
	}
}

// Decode returns the report that a digest encodes. The details come from the
// digest, or else from the previous report. It returns false if neither has
// details.
func Decode(digest *wirepb.EngineDigest, previous Report, now time.Time) (Report, bool) {
	load := previous.Load
	switch details := digest.GetDetails(); {
	case details != nil:
		load = loadOf(details)
	case previous.ObservedAt.IsZero():
		return Report{}, false
	}
	load.Running = int(digest.GetRunning())
	load.Waiting = int(digest.GetWaiting())
	load.CacheUsedTokens = load.CacheCapacityTokens * int64(min(digest.GetCacheFill(), fillUnits)) / fillUnits
	load.Leaving = digest.GetLeaving()
	return Report{
		Load:        load,
		ObservedAt:  now.Add(-time.Duration(digest.GetAgeTensOfMillis()) * ageUnit),
		Reachable:   !digest.GetUnreachable(),
		CacheEvents: uint64(digest.GetCacheEvents()) * cacheEventsUnit,
	}, true
}

func loadOf(details *wirepb.EngineDetails) backend.Load {
	return backend.Load{
		MaxRunning:          int(details.GetMaxRunning()),
		CacheCapacityTokens: int64(min(details.GetCacheCapacityTokens(), math.MaxInt64/fillUnits)),
		PrefillTokensPerSec: float64(details.GetPrefillTokensPerSecond()),
		DecodeTokensPerSec:  float64(details.GetDecodeTokensPerSecond()),
		Models:              details.GetModels(),
	}
}

// sameDetails reports whether two loads have equal details.
func sameDetails(a, b backend.Load) bool {
	return a.MaxRunning == b.MaxRunning &&
		a.CacheCapacityTokens == b.CacheCapacityTokens &&
		a.PrefillTokensPerSec == b.PrefillTokensPerSec &&
		a.DecodeTokensPerSec == b.DecodeTokensPerSec &&
		slices.Equal(a.Models, b.Models)
}

func count(value int) uint32 { return uint32(min(max(0, value), math.MaxInt32)) }

func encodeAge(age time.Duration) uint32 {
	units := (age + ageUnit - 1) / ageUnit // rounded up: never younger than the report is
	return uint32(min(max(0, units), math.MaxInt32))
}

// cacheFill returns the share of the cache in use, in 1/fillUnits.
func cacheFill(load backend.Load) uint32 {
	if load.CacheCapacityTokens <= 0 || load.CacheUsedTokens <= 0 {
		return 0
	}
	share := float64(load.CacheUsedTokens) / float64(load.CacheCapacityTokens)
	return uint32(min(share, 1) * fillUnits)
}
