package versionrecord

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

// seenBy returns an observation of service s. Bits of listed and recent are versions a, b and c; recent are those that were listed
// within removeAfter, besides the listed ones.
func seenBy(configuration int64, listed, recent int, known time.Duration) Observation {
	var service Service
	service.KnownFor = known
	for i, version := range []string{"a", "b", "c"} {
		if listed&(1<<i) != 0 {
			service.Listed = append(service.Listed, version)
		}
		if (listed|recent)&(1<<i) != 0 {
			service.Versions = append(service.Versions, version)
		}
	}
	return Observation{Configuration: configuration, Services: map[string]Service{"s": service}}
}

// TestRecordIsUpdated applies observations to a record.
func TestRecordIsUpdated(t *testing.T) {
	const a, ab, b = 1, 3, 2
	start := Record{Configuration: 5, Services: map[string]Entry{"s": {Versions: []string{"a"}, KnownMillis: 60_000}}}
	for name, test := range map[string]struct {
		seen    Observation
		want    Entry
		changed bool
	}{
		"nothing new":                   {seenBy(5, a, 0, 2*time.Minute), Entry{[]string{"a"}, 60_000}, false},
		"by a node that started":        {seenBy(5, a, 0, time.Second), Entry{[]string{"a"}, 60_000}, false},
		"a longer time":                 {seenBy(5, a, 0, time.Hour), Entry{[]string{"a"}, 600_000}, true},
		"a version more":                {seenBy(5, ab, 0, time.Hour), Entry{[]string{"a", "b"}, 600_000}, true},
		"a version more, by a new node": {seenBy(5, b, 0, time.Second), Entry{[]string{"a", "b"}, 0}, true},
		"a version that left":           {seenBy(5, b, 0, removeAfter), Entry{[]string{"b"}, 60_000}, true},
		"one that left just now":        {seenBy(5, b, a, removeAfter), Entry{[]string{"a", "b"}, 60_000}, true},
		"a new configuration":           {seenBy(6, a, 0, 20*time.Second), Entry{[]string{"a"}, 15_000}, true},
		"a new one, route moved":        {seenBy(6, a, 0, 0), Entry{[]string{"a"}, 0}, true},
		"an old configuration":          {seenBy(4, a, 0, time.Hour), Entry{[]string{"a"}, 60_000}, false},
		"an old one, a version more":    {seenBy(4, b, 0, time.Hour), Entry{[]string{"a", "b"}, 0}, true},
	} {
		t.Run(name, func(t *testing.T) {
			next, changed := start.updated(test.seen)
			if got := next.Services["s"]; !got.equal(test.want) || changed != test.changed {
				t.Errorf("got %+v, changed %v; want %+v, %v", got, changed, test.want, test.changed)
			}
			if start.Services["s"].KnownMillis != 60_000 || len(start.Services["s"].Versions) != 1 {
				t.Errorf("the record itself was changed to %+v", start)
			}
		})
	}
	next, _ := start.updated(Observation{Configuration: 5})
	if len(next.Services) != 0 {
		t.Errorf("a service that is gone is kept: %+v", next)
	}
}

// TestEarlierNeedsTheSameVersions compares a record with what a node lists after its start.
func TestEarlierNeedsTheSameVersions(t *testing.T) {
	record := Record{Configuration: 5, Services: map[string]Entry{"s": {Versions: []string{"a"}, KnownMillis: 60_000}}}
	for name, test := range map[string]struct {
		seen Observation
		want time.Duration
	}{
		"the same":              {seenBy(5, 1, 0, 0), time.Minute},
		"another version":       {seenBy(5, 2, 0, 0), 0},
		"one more":              {seenBy(5, 3, 0, 0), 0},
		"one more lately":       {seenBy(5, 1, 2, 0), 0},
		"none":                  {seenBy(5, 0, 0, 0), 0},
		"a later configuration": {seenBy(6, 1, 0, 0), 0},
	} {
		if got := record.earlier(test.seen)["s"]; got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
	if got := (Record{}).earlier(seenBy(0, 1, 0, 0))["s"]; got != 0 {
		t.Errorf("an empty record: %s, want 0", got)
	}
}

// TestNodesAgreeOnTheRecord lets nodes with different knowledge write the record in turn. It holds every listed version, and
// after a few rounds nobody changes it.
func TestNodesAgreeOnTheRecord(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(64)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("the record settles", prop.ForAll(func(drawn []int) bool {
		var nodes []Observation
		listed := make(map[string]bool)
		for _, value := range drawn {
			known := []time.Duration{0, time.Second, 20 * time.Second, removeAfter, time.Hour}[value%5]
			seen := seenBy(int64(5+value/5%2), value/10%8, value/80%8, known)
			if known >= removeAfter && value/10%8 != 7 {
				continue // nodes that know for long that there are no others would contradict each other
			}
			nodes = append(nodes, seen)
			for _, version := range seen.Services["s"].Listed {
				listed[version] = true
			}
		}
		var record Record
		changes := 0
		for range 4 {
			changes = 0
			for _, seen := range nodes {
				next, changed := record.updated(seen)
				record = next
				if changed {
					changes++
				}
			}
		}
		for version := range listed {
			if !slices.Contains(record.Services["s"].Versions, version) {
				return false
			}
		}
		return changes == 0
	}, gen.SliceOfN(4, gen.IntRange(0, 639))))
	properties.TestingRun(t)
}

// TestInvalidRowIsReported decodes rows.
func TestInvalidRowIsReported(t *testing.T) {
	if record, err := decode(nil); err != nil || len(record.Services) != 0 {
		t.Errorf("an absent row: %+v, %v", record, err)
	}
	if _, err := decode([]byte("no JSON")); err == nil {
		t.Error("an invalid row is accepted")
	}
}

// TestStoredFormStays guards the row against a change that nodes of other builds could not read.
func TestStoredFormStays(t *testing.T) {
	const stored = `{"c":5,"s":{"models":{"v":["v1","v2"],"k":60000}}}`
	record := Record{Configuration: 5, Services: map[string]Entry{"models": {Versions: []string{"v1", "v2"}, KnownMillis: 60_000}}}
	if value, err := json.Marshal(record); err != nil || string(value) != stored {
		t.Errorf("written as %s, %v; want %s", value, err, stored)
	}
	if read, err := decode([]byte(stored)); err != nil || read.Configuration != 5 || !read.Services["models"].equal(record.Services["models"]) {
		t.Errorf("read as %+v, %v", read, err)
	}
}
