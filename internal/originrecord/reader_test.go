package originrecord

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestFailedReadsOfALargeFleetAreBounded has streams come every 20 ms to a process of a large fleet while the store refuses all calls.
func TestFailedReadsOfALargeFleetAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const seconds = 10
		store := newTable()
		store.failure = tablestore.ErrThrottled
		p := startProcess(t, "a", store)
		p.set(true, fleetProcesses)
		done := make(chan struct{})
		const streams = seconds * 50
		for range streams {
			go func() {
				if _, _, err := p.keeper.Find(t.Context(), "stream"); err == nil {
					t.Error("no error while the store refuses all calls")
				}
				done <- struct{}{}
			}()
			time.Sleep(time.Second / 50)
		}
		for range streams {
			<-done
		}
		if _, reads := store.counts(); reads < 2 || reads > seconds*maxFleetReads/fleetProcesses+1 {
			t.Errorf("%d reads in %d s, want at least 2 and those of %d a second of %d processes after the first", reads, seconds, maxFleetReads, fleetProcesses)
		}
		p.kill()
	})
}

// TestStreamsOfOlderReadsAreKnown resumes streams at a process of a large fleet after a read whose successor may not begin yet. A stream
// that the rows name is known; of another one it is not said that the store has no record.
func TestStreamsOfOlderReadsAreKnown(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first := startProcess(t, "a", store)
		name := first.begin("v1", 1)[0]
		time.Sleep(minWritePeriod)
		p := startProcess(t, "b", store)
		p.set(true, 2*maxFleetReads)
		if got := p.origin(name); got != "v1" {
			t.Errorf("got version %q, want v1", got)
		}
		if _, found, err := p.keeper.Find(t.Context(), "nobodys"); found || err != nil {
			t.Errorf("of a recent read: found %v, %v; want not found", found, err)
		}
		later := first.begin("v2", 1)[0]
		time.Sleep(reuseFor)
		if got := p.origin(name); got != "v1" {
			t.Errorf("of an older read: got version %q, want v1", got)
		}
		if _, found, err := p.keeper.Find(t.Context(), later); found || err == nil {
			t.Errorf("a stream that began after an older read: found %v, %v; want an error", found, err)
		}
		time.Sleep(2 * time.Second)
		p.keeper.reader.mutex.Lock()
		kept := p.keeper.reader.latest
		p.keeper.reader.mutex.Unlock()
		if kept != nil {
			t.Error("the rows are kept after the time of their reuse")
		}
		if got := p.origin(later); got != "v2" {
			t.Errorf("by a new read: got version %q, want v2", got)
		}
		first.kill()
		p.kill()
	})
}
