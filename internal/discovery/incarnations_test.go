package discovery

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// ignoringObserver ignores what it is notified of.
type ignoringObserver struct{}

func (ignoringObserver) ViewChanged(Collection, *View)                      {}
func (ignoringObserver) RecordUnreadable(Collection, string, uint64, error) {}
func (ignoringObserver) SourceLost(Collection, error)                       {}
func (ignoringObserver) SourceRegained(Collection, time.Duration)           {}

// storeUpdate is one answer of the store about the engines: a whole list, or changes.
type storeUpdate struct {
	fullList bool
	version  uint64
	records  []Record
}

// applyUpdates applies updates to a follower and returns its view after each.
func applyUpdates(f *Follower, updates []storeUpdate) (views []*View) {
	for _, update := range updates {
		if update.fullList {
			f.replace(Engines, update.records, update.version)
		} else {
			f.change(Engines, update.records, update.version)
		}
		views = append(views, f.View())
	}
	return views
}

func newFollower() *Follower { return New(Options{Observer: ignoringObserver{}}) }

// engineRecord returns an engine's record; a start time of 0 means that the engine does not report one.
func engineRecord(name string, startMillis int64, version uint64) Record {
	incarnation := routing.Incarnation{Name: name, StartUnixMilli: startMillis}
	engine := routing.Engine{Incarnation: incarnation, ID: incarnation.ID(), Service: "s", Address: fmt.Sprintf("127.0.0.1:%d", 1000+version)}
	return Record{Key: name, Version: version, Engine: &engine}
}

// configurationWith returns a configuration that names services.
func configurationWith(version uint64, names ...string) Record {
	services := make(map[string]routing.Service)
	for _, name := range names {
		services[name] = routing.Service{}
	}
	return Record{Key: "config", Version: version, Configuration: &routing.Configuration{Version: int64(version), Services: services}}
}

func deletedRecord(name string, version uint64) Record {
	return Record{Key: name, Version: version, Deleted: true}
}

// startsOf returns the start times of the engines of a name in a view; -1 for an entry under a wrong identity.
func startsOf(view *View, name string) (starts []int64) {
	for id, engine := range view.Engines {
		if engine.Name == name {
			starts = append(starts, engine.StartUnixMilli)
		}
		if engine.ID != id {
			starts = append(starts, -1)
		}
	}
	return starts
}

// TestLaterIncarnationReplacesTheEarlierOne restarts an engine under its name, and delivers the earlier
// incarnation's records after it.
func TestLaterIncarnationReplacesTheEarlierOne(t *testing.T) {
	views := applyUpdates(newFollower(), []storeUpdate{
		{fullList: true, version: 10, records: []Record{engineRecord("a", 100, 9), engineRecord("b", 100, 10)}},
		{version: 11, records: []Record{engineRecord("a", 200, 11)}},
		{version: 12, records: []Record{engineRecord("a", 100, 12)}},                           // written late
		{version: 13, records: []Record{engineRecord("a", 100, 9), deletedRecord("a", 9)}},     // delivered late
		{version: 14, records: []Record{deletedRecord("a", 14)}},                               // it ends
		{version: 15, records: []Record{engineRecord("a", 100, 15), engineRecord("a", 0, 15)}}, // written late
		{version: 16, records: []Record{engineRecord("a", 200, 16)}},                           // its entry is back
		{fullList: true, version: 17, records: []Record{engineRecord("a", 100, 17)}},           // b is removed
		{fullList: true, version: 18, records: []Record{engineRecord("b", 0, 18)}},             // a is removed
	})
	for i, want := range [][]int64{{100}, {200}, {200}, {200}, nil, nil, {200}, {200}, nil} {
		if got := startsOf(views[i], "a"); !slices.Equal(got, want) {
			t.Errorf("after update %d the start times of a are %v, want %v", i, got, want)
		}
	}
	if lastView := views[len(views)-1]; len(lastView.Engines) != 0 {
		t.Errorf("after all updates %v are listed, want none: the entry of b is of an earlier incarnation", lastView.Engines)
	}
	earlier := *engineRecord("a", 100, 9).Engine
	before := time.Now().Add(-time.Minute)
	if views[0].ReplacedAfter(earlier, before) || !views[1].ReplacedAfter(earlier, before) || views[4].ReplacedAfter(earlier, before) {
		t.Error("ReplacedAfter does not match the listed incarnations")
	}
	if views[1].ReplacedAfter(earlier, time.Now()) {
		t.Error("a request that may have reached the later incarnation counts as sent to the earlier one")
	}
}

// TestUnlistedIncarnationExpires accepts an engine whose clock was set back once its earlier incarnation has expired.
func TestUnlistedIncarnationExpires(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		applyUpdates(f, []storeUpdate{
			{fullList: true, version: 10, records: []Record{engineRecord("a", 200, 10)}},
			{version: 11, records: []Record{deletedRecord("a", 11)}},
		})
		time.Sleep(incarnationRetention) // virtual
		applyUpdates(f, []storeUpdate{{version: 12, records: []Record{engineRecord("b", 1, 12)}}})
		applyUpdates(f, []storeUpdate{{version: 13, records: []Record{engineRecord("a", 100, 13)}}})
		if got := startsOf(f.View(), "a"); !slices.Equal(got, []int64{100}) {
			t.Errorf("the start times of a are %v, want 100", got)
		}
	})
}

// TestEntryOfAnotherWriterKeepsNoStartOut overwrites an engine's entry with a readable one of a service that is not in
// the configuration, with a later start time than any. The engine's own next entry must be accepted at once.
func TestEntryOfAnotherWriterKeepsNoStartOut(t *testing.T) {
	f := newFollower()
	f.replace(Configurations, []Record{configurationWith(1, "s")}, 1)
	foreign := engineRecord("a", 1<<52, 11)
	foreign.Engine.Service = "nobody's"
	views := applyUpdates(f, []storeUpdate{
		{fullList: true, version: 10, records: []Record{engineRecord("a", 100, 10)}},
		{version: 11, records: []Record{foreign}},
		{version: 12, records: []Record{engineRecord("a", 100, 12)}},
	})
	if got := startsOf(views[2], "a"); !slices.Equal(got, []int64{100}) {
		t.Errorf("the start times of a are %v, want 100", got)
	}
}

// TestIncarnationWithAClockSetBackIsAccepted restarts an engine, long after its start, with an earlier start time.
func TestIncarnationWithAClockSetBackIsAccepted(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		applyUpdates(f, []storeUpdate{{fullList: true, version: 10, records: []Record{engineRecord("a", 200, 10)}}})
		time.Sleep(lateWriteWindow) // virtual
		views := applyUpdates(f, []storeUpdate{
			{version: 11, records: []Record{engineRecord("a", 100, 9)}}, // delivered late
			{version: 12, records: []Record{engineRecord("a", 100, 12)}},
		})
		for i, want := range [][]int64{{200}, {100}} {
			if got := startsOf(views[i], "a"); !slices.Equal(got, want) {
				t.Errorf("after update %d the start times of a are %v, want %v", i, got, want)
			}
		}
	})
}

// TestNewestStartWins draws writes of the entries of two names: by several incarnations of each, with
// and without a start time, and removals. They are delivered in any order, late, more than
// once or not at all, with whole lists between.
func TestNewestStartWins(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(36)
	parameters.MinSuccessfulTests = 2000
	properties := gopter.NewProperties(parameters)
	properties.Property("the newest incarnation wins and is never replaced by an older one", prop.ForAll(
		checkIncarnations,
		gen.SliceOfN(30, gen.IntRange(0, 1<<16)),
	))
	properties.TestingRun(t)
}

// checkIncarnations applies the updates that drawn numbers encode, and describes the first wrong view; empty if all are right.
func checkIncarnations(steps []int) string {
	history := []Record{engineRecord("a", 0, 1)}
	updates := []storeUpdate{{fullList: true, version: 1, records: history}}
	for _, step := range steps {
		name, startMillis := []string{"a", "b"}[step%2], int64(step/2%4*10) // 0: not reported
		version := uint64(len(history) + 1)
		write := engineRecord(name, startMillis, version)
		if step/8%4 == 0 {
			write = deletedRecord(name, version)
		}
		history = append(history, write)
		update := storeUpdate{version: version}
		for _, delay := range []int{step / 32 % 8, step / 256 % 16} {
			update.records = append(update.records, history[max(0, len(history)-1-delay)])
		}
		if step/4096%6 == 0 {
			update = storeUpdate{fullList: true, version: version, records: storedRecords(history)}
		}
		updates = append(updates, update)
	}
	models := make(map[string]*nameModel)
	for i, view := range applyUpdates(newFollower(), updates) {
		for _, name := range []string{"a", "b"} {
			if models[name] == nil {
				models[name] = &nameModel{startMillis: -1}
			}
			before := models[name].startMillis
			want := models[name].apply(name, updates[i])
			got := startsOf(view, name)
			if !slices.Equal(got, want) || len(got) > 0 && got[0] < before {
				return fmt.Sprintf("after update %d of %v the start times of %s are %v, want %v", i, steps, name, got, want)
			}
		}
	}
	return ""
}

// storedRecords returns the records in a store after a history of writes.
func storedRecords(history []Record) (stored []Record) {
	for i, write := range history {
		overwritten := slices.ContainsFunc(history[i+1:], func(later Record) bool { return later.Key == write.Key })
		if !overwritten && !write.Deleted {
			stored = append(stored, write)
		}
	}
	return stored
}

// nameModel is the expected state of a name, independent of the order of updates.
type nameModel struct {
	startMillis    int64 // of the newest incarnation; -1 for none
	entryVersion   uint64
	removedVersion uint64
}

// apply applies an update and returns the start times that are to be listed then.
func (m *nameModel) apply(name string, update storeUpdate) []int64 {
	listed := false
	for _, record := range update.records {
		if record.Key != name {
			continue
		}
		listed = true
		switch {
		case record.Deleted && m.startMillis >= 0:
			m.removedVersion = max(m.removedVersion, record.Version)
		case record.Deleted, record.Engine.StartUnixMilli < m.startMillis:
		case record.Engine.StartUnixMilli > m.startMillis:
			m.startMillis, m.entryVersion = record.Engine.StartUnixMilli, record.Version
		default:
			m.entryVersion = max(m.entryVersion, record.Version)
		}
	}
	if update.fullList && !listed && m.startMillis >= 0 {
		m.removedVersion = max(m.removedVersion, update.version)
	}
	if m.startMillis < 0 || m.removedVersion > m.entryVersion {
		return nil
	}
	return []int64{m.startMillis}
}
