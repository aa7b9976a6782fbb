package serving

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// calmFleet starts two processes that list one version, and lets some time pass.
func calmFleet(t *testing.T, calm time.Duration) *listingFleet {
	f := newListingFleet(t)
	f.table.put("engine", "v1")
	f.start("a")
	f.start("b")
	time.Sleep(calm)
	return f
}

// restart kills all processes and starts one after a second. It returns once that has listed engines and read the record.
func (f *listingFleet) restart() *listingProcess {
	f.killAll()
	time.Sleep(time.Second)
	started := f.start("a")
	time.Sleep(time.Second)
	return started
}

// TestOnlyVersionIsConcludedAtOnceAfterAKillOfAll kills all processes while one version has served for long. The record of
// versions tells the processes that start that there was no other. On a calm day it costs no calls.
func TestOnlyVersionIsConcludedAtOnceAfterAKillOfAll(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 11*time.Minute)
		calls := f.records.callCount()
		if calls > 12 {
			t.Errorf("%d calls until the record states its longest time, by two processes; want 12 at most", calls)
		}
		time.Sleep(time.Hour)
		if later := f.records.callCount(); later != calls {
			t.Errorf("%d calls in a calm hour, want none", later-calls)
		}
		f.restart().expectOnly(t, "v1", "after a kill of all")
		f.killAll()
	})
}

// TestRecordOfVersionsHoldsReleases kills all processes during and after a release. Its versions are refused as long as clients
// may come back for streams of the old one.
func TestRecordOfVersionsHoldsReleases(t *testing.T) {
	for name, test := range map[string]struct {
		after time.Duration // from the end of the release to the kill
		known bool
	}{
		"at its end":      {after: 0},
		"soon after":      {after: 50 * time.Second},
		"long afterwards": {after: 75 * time.Second, known: true},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				f := calmFleet(t, 2*time.Minute)
				f.table.put("next", "v2")
				time.Sleep(time.Second)
				f.table.remove("engine")
				time.Sleep(test.after)
				started := f.restart()
				if test.known {
					started.expectOnly(t, "v2", "after a kill of all")
				} else {
					started.expectUnknown(t, "after a kill of all")
				}
				f.killAll()
			})
		})
	}
}

// TestRecordOfVersionsHoldsAVersionThatLeft kills all processes once a version has come and gone, while the older one serves on.
func TestRecordOfVersionsHoldsAVersionThatLeft(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		f.table.put("canary", "v2")
		time.Sleep(500 * time.Millisecond)
		f.killAll()
		f.table.remove("canary")
		f.restart().expectUnknown(t, "after a kill of all")
		f.killAll()
	})
}

// TestRecordOfVersionsNeedsTheConfigurationOfThatTime changes the configuration while no process runs, and while one does: routes may
// lead elsewhere.
func TestRecordOfVersionsNeedsTheConfigurationOfThatTime(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		f.killAll()
		f.table.setConfiguration(2)
		started := f.restart()
		started.expectUnknown(t, "after a kill of all with a change of the configuration")
		time.Sleep(time.Minute)
		started.expectOnly(t, "v1", "long afterwards")
		f.table.setConfiguration(3)
		time.Sleep(10 * time.Second)
		f.restart().expectOnly(t, "v1", "after a change that a process has seen")
		f.killAll()
	})
}

// TestRecordOfVersionsThatCannotBeReadProvesNothing starts processes while the record cannot be read.
func TestRecordOfVersionsThatCannotBeReadProvesNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		f.records.setDown(true)
		started := f.restart()
		started.expectUnknown(t, "without the record")
		if err := started.versionRecord.Await(t.Context(), "models", "v1"); err != nil {
			t.Errorf("a stream may not start while the record is unknown: %v", err)
		}
		f.records.setDown(false)
		time.Sleep(5 * time.Second)
		started.expectOnly(t, "v1", "once the record is read")
		f.killAll()
	})
}

// TestRecordOfVersionsIsReadAgainAfterAGap cuts a process off while engines of the same version come, and while another version does.
func TestRecordOfVersionsIsReadAgainAfterAGap(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		cutOff := f.processes["a"]
		cutOff.source.setCut(true)
		time.Sleep(10 * time.Second)
		f.table.put("another", "v1")
		cutOff.source.setCut(false)
		time.Sleep(2 * time.Second)
		f.kill("b")
		cutOff.expectOnly(t, "v1", "after a gap without another version")
		f.start("b")
		time.Sleep(time.Minute)
		cutOff.source.setCut(true)
		time.Sleep(10 * time.Second)
		f.table.put("short", "v2")
		time.Sleep(2 * time.Second)
		f.table.remove("short")
		f.kill("b")
		cutOff.source.setCut(false)
		time.Sleep(2 * time.Second)
		cutOff.expectUnknown(t, "after a gap with another version")
		f.killAll()
	})
}

// TestStreamsWaitForTheirVersionToBeRecorded lists a version while the record cannot be written. No stream that clients may
// resume starts at it, and those of the recorded version go on.
func TestStreamsWaitForTheirVersionToBeRecorded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		f := calmFleet(t, 2*time.Minute)
		process := f.processes["a"]
		await := func(version string) error {
			ctx, cancel := f.timeout(250 * time.Millisecond)
			defer cancel()
			return process.versionRecord.Await(ctx, "models", version)
		}
		f.records.setDown(true)
		f.table.put("next", "v2")
		time.Sleep(time.Second)
		start := time.Now()
		if err := await("v2"); err == nil || time.Since(start) > 250*time.Millisecond {
			t.Errorf("after %s: %v; want an error after the timeout", time.Since(start), err)
		}
		if err := await("v1"); err != nil {
			t.Errorf("the recorded version: %v", err)
		}
		f.records.setDown(false)
		time.Sleep(5 * time.Second)
		if err := await("v2"); err != nil {
			t.Errorf("once the store takes writes: %v", err)
		}
		// All engines of the version leave for some seconds, as in an outage of the store.
		f.table.remove("next")
		time.Sleep(10 * time.Second)
		f.records.setDown(true)
		f.table.put("next", "v2")
		time.Sleep(time.Second)
		if err := await("v2"); err != nil {
			t.Errorf("back after some seconds: %v", err)
		}
		f.records.setDown(false)
		// All engines of the version leave, others remove it, and it comes back.
		f.table.remove("engine")
		time.Sleep(2 * time.Minute)
		f.records.setDown(true)
		f.table.put("engine", "v1")
		time.Sleep(time.Second)
		if err := await("v1"); err == nil {
			t.Error("a version that came back counts as recorded")
		}
		f.killAll()
	})
}
