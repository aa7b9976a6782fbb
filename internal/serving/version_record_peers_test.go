package serving

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestProcessThatCannotReadTheRecordStartsStreamsOfRecordedVersions guards against a process whose new streams are all refused as long as the
// store does not answer it: several versions are listed, its peers have read which of them are recorded, and it cannot read the record.
func TestProcessThatCannotReadTheRecordStartsStreamsOfRecordedVersions(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		f.table.put("next", "v2")
		time.Sleep(2 * time.Second)
		f.records.setDown(true)
		f.table.put("latest", "v3")
		time.Sleep(time.Second)
		started := f.start("c")
		time.Sleep(time.Second)
		await := func(version string) error {
			ctx, cancel := f.timeout(250 * time.Millisecond)
			defer cancel()
			return started.versionRecord.Await(ctx, "models", version)
		}
		for _, version := range []string{"v1", "v2"} {
			if err := await(version); err != nil {
				t.Errorf("version %s, which the peers have read in the record: %v", version, err)
			}
		}
		if await("v3") == nil {
			t.Error("a stream may start at a version that the record lacks")
		}
		// Others may remove a version that has left, so that what peers told of it before no longer holds.
		f.kill("a", "b")
		f.table.remove("next")
		time.Sleep(2 * time.Minute)
		f.table.put("next", "v2")
		time.Sleep(time.Second)
		if await("v2") == nil {
			t.Error("a version that came back counts as recorded")
		}
		if err := await("v1"); err != nil {
			t.Errorf("version v1, which was listed all the time: %v", err)
		}
		f.killAll()
	})
}

// TestProcessesThatHaveNotReadTheRecordTellNothing starts all processes while the record cannot be read: none of them takes the other's word.
func TestProcessesThatHaveNotReadTheRecordTellNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		f.records.setDown(true)
		f.table.put("next", "v2")
		f.killAll()
		started := f.start("a")
		f.start("b")
		time.Sleep(30 * time.Second)
		ctx, cancel := f.timeout(250 * time.Millisecond)
		defer cancel()
		if started.versionRecord.Await(ctx, "models", "v2") == nil {
			t.Error("a stream may start at a version that the record lacks")
		}
		f.killAll()
	})
}
