package discovery

import (
	"maps"
	"slices"
	"testing"
)

// TestOverwrittenStartIsHidden overwrites the entry of an engine that tells its start with one that cannot be
// read, and tells what comes then.
func TestOverwrittenStartIsHidden(t *testing.T) {
	begin := news{whole: true, version: 10, records: []Record{entry("a", 100, 9), entry("b", 100, 10)}}
	over := news{version: 11, records: []Record{bad("a", 11)}}
	hidden := []string{"a@100"}
	for name, test := range map[string]struct {
		then []news
		want []string
	}{
		"at once":                    {nil, hidden},
		"overwritten again":          {[]news{{version: 12, records: []Record{bad("a", 12)}}}, hidden},
		"listed as it is":            {[]news{{whole: true, version: 12, records: []Record{bad("a", 11), entry("b", 100, 10)}}}, hidden},
		"another's news":             {[]news{{version: 12, records: []Record{entry("b", 100, 12)}}}, hidden},
		"an earlier end, told late":  {[]news{{version: 12, records: []Record{withdrawn("a", 8)}}}, hidden},
		"its own is back":            {[]news{{version: 12, records: []Record{entry("a", 100, 12)}}}, nil},
		"it has started again":       {[]news{{version: 12, records: []Record{entry("a", 200, 12)}}}, nil},
		"it has no entry":            {[]news{{version: 12, records: []Record{withdrawn("a", 12)}}}, nil},
		"it is not in a list":        {[]news{{whole: true, version: 12, records: []Record{entry("b", 100, 10)}}}, nil},
		"no entry, then overwritten": {[]news{{version: 12, records: []Record{withdrawn("a", 12)}}, {version: 13, records: []Record{bad("a", 13)}}}, nil},
	} {
		f := newFollower()
		tell(f, append([]news{begin, over}, test.then...))
		if got := slices.Sorted(maps.Keys(f.View().Hidden)); !slices.Equal(got, test.want) {
			t.Errorf("%s: hidden are %q, want %q", name, got, test.want)
		}
	}
	f := newFollower()
	tell(f, []news{{whole: true, version: 9, records: []Record{entry("a", 0, 9)}}, over})
	if got := f.View().Hidden; len(got) != 0 {
		t.Errorf("hidden are %v; an engine that does not tell its start may be another one once it is back", got)
	}
}

// TestListWithAnOverwrittenEntryHidesItsStart learns of the overwriting by a whole list.
func TestListWithAnOverwrittenEntryHidesItsStart(t *testing.T) {
	f := newFollower()
	tell(f, []news{
		{whole: true, version: 10, records: []Record{entry("a", 100, 9)}},
		{whole: true, version: 12, records: []Record{bad("a", 11)}},
	})
	if view := f.View(); !view.Hidden["a@100"] || len(view.Engines) != 0 {
		t.Errorf("hidden are %v, and listed %v", view.Hidden, view.Engines)
	}
}
