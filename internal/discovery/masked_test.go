package discovery

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestOverwrittenIncarnationIsMasked overwrites the entry of an engine that reports its start time with one that
// cannot be read, followed by other updates.
func TestOverwrittenIncarnationIsMasked(t *testing.T) {
	initial := storeUpdate{fullList: true, version: 10, records: []Record{engineRecord("a", 100, 9), engineRecord("b", 100, 10)}}
	overwrite := storeUpdate{version: 11, records: []Record{unreadableRecord("a", 11)}}
	masked := []string{"a@100"}
	for name, test := range map[string]struct {
		then []storeUpdate
		want []string
	}{
		"at once":                    {nil, masked},
		"overwritten again":          {[]storeUpdate{{version: 12, records: []Record{unreadableRecord("a", 12)}}}, masked},
		"listed as it is":            {[]storeUpdate{{fullList: true, version: 12, records: []Record{unreadableRecord("a", 11), engineRecord("b", 100, 10)}}}, masked},
		"another engine's update":    {[]storeUpdate{{version: 12, records: []Record{engineRecord("b", 100, 12)}}}, masked},
		"an earlier removal, late":   {[]storeUpdate{{version: 12, records: []Record{deletedRecord("a", 8)}}}, masked},
		"its own is back":            {[]storeUpdate{{version: 12, records: []Record{engineRecord("a", 100, 12)}}}, nil},
		"it has started again":       {[]storeUpdate{{version: 12, records: []Record{engineRecord("a", 200, 12)}}}, nil},
		"it has no entry":            {[]storeUpdate{{version: 12, records: []Record{deletedRecord("a", 12)}}}, nil},
		"it is not in a list":        {[]storeUpdate{{fullList: true, version: 12, records: []Record{engineRecord("b", 100, 10)}}}, nil},
		"no entry, then overwritten": {[]storeUpdate{{version: 12, records: []Record{deletedRecord("a", 12)}}, {version: 13, records: []Record{unreadableRecord("a", 13)}}}, nil},
	} {
		f := newFollower()
		applyUpdates(f, append([]storeUpdate{initial, overwrite}, test.then...))
		if got := slices.Sorted(maps.Keys(f.View().Masked)); !slices.Equal(got, test.want) {
			t.Errorf("%s: masked are %q, want %q", name, got, test.want)
		}
	}
	f := newFollower()
	applyUpdates(f, []storeUpdate{{fullList: true, version: 9, records: []Record{engineRecord("a", 0, 9)}}, overwrite})
	if got := f.View().Masked; len(got) != 0 {
		t.Errorf("masked are %v; an engine that does not report its start time may be another incarnation once it is back", got)
	}
}

// TestStartIsHiddenByAnEntryOfNobodysService overwrites an engine's entry with a readable one that names a service not
// in the configuration and a later start time. The engine's next entry must be accepted at once, and the incarnation is
// masked until then.
func TestStartIsHiddenByAnEntryOfNobodysService(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		f.replace(Configurations, []Record{configurationWith(1, "s")}, 1)
		foreign := func(version uint64) Record {
			record := engineRecord("a", 1<<52, version)
			record.Engine.Service = "nobody's"
			return record
		}
		for i, step := range []struct {
			record Record
			want   []string
		}{
			{engineRecord("a", 100, 10), nil},
			{foreign(11), []string{"a@100"}},
			{foreign(12), []string{"a@100"}},
			{unreadableRecord("a", 13), []string{"a@100"}},
			{foreign(14), []string{"a@100"}},
			{engineRecord("a", 100, 15), nil},
			{foreign(16), []string{"a@100"}},
			{engineRecord("a", 200, 17), nil},
			{foreign(18), []string{"a@200"}},
			{deletedRecord("a", 19), nil},
			{foreign(20), nil},
			{engineRecord("a", 200, 21), nil},
			{foreign(22), []string{"a@200"}},
		} {
			f.change(Engines, []Record{step.record}, step.record.Version)
			if got := slices.Sorted(maps.Keys(f.View().Masked)); !slices.Equal(got, step.want) {
				t.Errorf("step %d: masked are %q, want %q", i, got, step.want)
			}
		}
		time.Sleep(incarnationRetention) // virtual
		f.change(Engines, []Record{foreign(23)}, 23)
		if got := f.View().Masked; len(got) != 0 {
			t.Errorf("masked after the retention period: %v", got)
		}
	})
}

// TestListWithAnOverwrittenEntryMasksItsIncarnation covers an overwritten entry that arrives in a whole list.
func TestListWithAnOverwrittenEntryMasksItsIncarnation(t *testing.T) {
	f := newFollower()
	applyUpdates(f, []storeUpdate{
		{fullList: true, version: 10, records: []Record{engineRecord("a", 100, 9)}},
		{fullList: true, version: 12, records: []Record{unreadableRecord("a", 11)}},
	})
	if view := f.View(); !view.Masked["a@100"] || len(view.Engines) != 0 {
		t.Errorf("masked are %v, and listed %v; want the engine masked and none listed", view.Masked, view.Engines)
	}
}

// TestNoIncarnationIsMaskedForLong replaces an engine's entry with that of another writer, of a service not in the
// configuration, which is rewritten with a later start time every 30 s. The engine must not stay masked as long as that continues.
func TestNoIncarnationIsMaskedForLong(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		f.replace(Configurations, []Record{configurationWith(1, "s")}, 1)
		f.change(Engines, []Record{engineRecord("a", 100, 10)}, 10)
		for i := range 20 {
			version := uint64(11 + i)
			foreign := engineRecord("a", 1<<52+int64(i), version)
			foreign.Engine.Service = "nobody's"
			f.change(Engines, []Record{foreign}, version)
			if i == 0 && len(f.View().Masked) != 1 {
				t.Fatalf("masked are %v, want the engine", f.View().Masked)
			}
			time.Sleep(incarnationRetention / 2)
		}
		if got := f.View().Masked; len(got) != 0 {
			t.Errorf("masked after ten retention periods: %v", got)
		}
	})
}
