// Package versionrecord keeps a row of the store with the software versions of each service at which streams may have
// started lately. After all nodes have ended at once, a node that starts learns from the row which versions served before,
// and thereby which version started a stream that a client resumes.
//
// A version is added before any node starts a stream at it that clients may resume, and removed once none has been listed for
// so long that no client resumes a stream of it. While the versions stay the same, the row is neither read nor written. Nodes of builds
// without this package do not add versions: what they serve is not in the row, and all nodes should be replaced
// before the engines of a service are.
package versionrecord

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// removeAfter is how long a node must have known that a service has no other versions than it lists to remove the others.
const removeAfter = time.Minute

// RecentFor is how long after its last engine was removed a version counts as recent: it is still in the row, whichever node
// saw first that the engine was gone.
const RecentFor = removeAfter / 2

// milestones are the times that an entry states in Known, in descending order. The row is written when one is reached.
var milestones = [...]time.Duration{10 * time.Minute, removeAfter, 15 * time.Second}

// Record is the content of the row.
type Record struct {
	Configuration int64            `json:"c"` // version of the configuration by which the entries were written
	Services      map[string]Entry `json:"s"`
}

// Entry is what is known of a service.
type Entry struct {
	Versions []string `json:"v"` // in lexical order
	// KnownMillis is for how long, when the entry was written, the service had had no other versions and had shared no route with
	// another service.
	KnownMillis int64 `json:"k"`
}

// known returns KnownMillis as a duration.
func (e Entry) known() time.Duration { return time.Duration(e.KnownMillis) * time.Millisecond }

// Observation is what a node knows of the services.
type Observation struct {
	Configuration int64 // version
	Services      map[string]Service
	// Since is since when the node has seen every change of engines and configuration.
	Since time.Time
}

// Service is what a node knows of a service.
type Service struct {
	Listed   []string      // versions whose engines are listed
	Recent   []string      // those, and the ones that were listed within RecentFor
	Versions []string      // those, and the ones that were listed within removeAfter; in lexical order
	KnownFor time.Duration // for how long until now the service has certainly had no others and has shared no route; 0 if unknown
}

// decode decodes the row. An invalid row is an error; an empty one is a Record without entries.
func decode(value []byte) (Record, error) {
	var record Record
	if len(value) == 0 {
		return record, nil
	}
	err := json.Unmarshal(value, &record)
	return record, errors.Wrap(err, "decode the record of software versions")
}

// has reports whether a service's version is in the record.
func (r Record) has(service, version string) bool {
	return slices.Contains(r.Services[service].Versions, version)
}

// lacksListed reports whether a version is listed that the record lacks.
func (r Record) lacksListed(seen Observation) bool {
	for name, service := range seen.Services {
		for _, version := range service.Listed {
			if !r.has(name, version) {
				return true
			}
		}
	}
	return false
}

// updated returns the record as a node's observation changes it, and whether it does. An observation of an older configuration only
// adds versions.
func (r Record) updated(seen Observation) (Record, bool) {
	next := Record{Configuration: max(r.Configuration, seen.Configuration), Services: maps.Clone(r.Services)}
	if next.Services == nil {
		next.Services = make(map[string]Entry)
	}
	for name, service := range seen.Services {
		next.Services[name] = r.Services[name].updated(service, seen.Configuration == next.Configuration, seen.Configuration > r.Configuration)
	}
	if seen.Configuration == next.Configuration {
		maps.DeleteFunc(next.Services, func(name string, _ Entry) bool { _, exists := seen.Services[name]; return !exists })
	}
	changed := next.Configuration != r.Configuration || !maps.EqualFunc(next.Services, r.Services, Entry.equal)
	return next, changed
}

func (e Entry) equal(other Entry) bool {
	return e.KnownMillis == other.KnownMillis && slices.Equal(e.Versions, other.Versions)
}

// updated returns the entry as an observation changes it. current reports that the observation is of the record's configuration,
// newer that the record has been of an older one.
func (e Entry) updated(seen Service, current, newer bool) Entry {
	versions := append(slices.Clone(e.Versions), seen.Listed...)
	slices.Sort(versions)
	versions = slices.Compact(versions)
	if current && seen.KnownFor >= removeAfter {
		versions = seen.Versions
	}
	same := slices.Equal(versions, e.Versions)
	known := time.Duration(0)
	if current && slices.Equal(versions, seen.Versions) {
		known = milestone(seen.KnownFor)
	}
	if same && !newer {
		known = max(known, e.known())
	}
	return Entry{Versions: versions, KnownMillis: known.Milliseconds()}
}

// milestone returns the longest milestone that a duration has reached; 0 if none.
func milestone(duration time.Duration) time.Duration {
	for _, reached := range milestones {
		if duration >= reached {
			return reached
		}
	}
	return 0
}

// earlier returns for how long before an observation each service certainly had no other versions than it has now, by
// the record.
func (r Record) earlier(seen Observation) map[string]time.Duration {
	known := make(map[string]time.Duration)
	if r.Configuration != seen.Configuration {
		return known
	}
	for name, service := range seen.Services {
		if entry := r.Services[name]; slices.Equal(entry.Versions, service.Versions) {
			known[name] = entry.known()
		}
	}
	return known
}
