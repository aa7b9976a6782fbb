package discovery

import (
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// versionedRecord returns an engine's record with a software version.
func versionedRecord(name, software string, version uint64) Record {
	record := engineRecord(name, 0, version)
	record.Engine.Version = software
	return record
}

// TestVersionsAreRetained replaces the engines of a service by a release. The removed version is retained for as long
// as clients may ask for its streams.
func TestVersionsAreRetained(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		versions := func(within time.Duration) []string {
			return f.View().SoftwareVersions("s", time.Now(), within)
		}
		applyUpdates(f, []storeUpdate{{fullList: true, version: 2, records: []Record{versionedRecord("a", "v1", 1), versionedRecord("b", "v1", 2)}}})
		if got := versions(VersionRetention); !slices.Equal(got, []string{"v1"}) {
			t.Errorf("one version serves, retained are %q", got)
		}
		applyUpdates(f, []storeUpdate{{version: 3, records: []Record{versionedRecord("c", "V1 ", 3)}}, {version: 5, records: []Record{deletedRecord("a", 4), deletedRecord("b", 5)}}})
		time.Sleep(10 * time.Second)
		if got := versions(VersionRetention); !slices.Equal(got, []string{"V1 ", "v1"}) {
			t.Errorf("after the release, retained are %q", got)
		}
		if got := versions(5 * time.Second); !slices.Equal(got, []string{"V1 "}) {
			t.Errorf("listed within 5 s are %q", got)
		}
		if view := f.View(); !view.HasVersion("s", "V1 ") || view.HasVersion("s", "v1") || view.HasVersion("other", "V1 ") {
			t.Error("the view reports other versions than it lists")
		}
		time.Sleep(VersionRetention)
		applyUpdates(f, []storeUpdate{{version: 6, records: []Record{versionedRecord("d", "V1 ", 6)}}})
		if got := versions(VersionRetention); !slices.Equal(got, []string{"V1 "}) {
			t.Errorf("long after the release, retained are %q", got)
		}
	})
}

// TestVersionOfAStartIsCertain restarts an engine under its name with another version and without a start time. A
// request sent to it about that time may have reached either incarnation.
func TestVersionOfAStartIsCertain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := newFollower()
		applyUpdates(f, []storeUpdate{{fullList: true, version: 1, records: []Record{versionedRecord("a", "v1", 1)}}})
		time.Sleep(10 * time.Second)
		early, late := time.Now(), time.Now().Add(4*time.Second)
		time.Sleep(5 * time.Second)
		applyUpdates(f, []storeUpdate{{version: 2, records: []Record{versionedRecord("a", "v2", 2)}}})
		view := f.View()
		if !view.VersionIsCertain("a", "v1", early) {
			t.Error("a request sent long before the second incarnation counts as uncertain")
		}
		if view.VersionIsCertain("a", "v1", late) {
			t.Error("a request sent just before the second incarnation was listed counts as certain")
		}
		if !view.VersionIsCertain("a", "v2", time.Now()) || !view.VersionIsCertain("other", "v1", late) {
			t.Error("a request to an engine of the listed version counts as uncertain")
		}
	})
}
