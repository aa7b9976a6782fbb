package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// write is a record of the engines, and when it is written after the start of a test.
type write struct {
	at     time.Duration
	record Record
}

// scriptedSource is a source of engines whose writes are planned. Its versions rise with time.
type scriptedSource struct {
	started time.Time
	writes  []write
	calls   atomic.Int64
}

// List implements Source.
func (s *scriptedSource) List(context.Context, Collection) ([]Record, uint64, error) {
	first := s.writes[0].record
	return []Record{first}, first.Version, nil
}

// Changes implements Source.
func (s *scriptedSource) Changes(ctx context.Context, _ Collection, after uint64, wait time.Duration) ([]Record, uint64, error) {
	s.calls.Add(1)
	end := time.Now().Add(wait)
	for _, next := range s.writes {
		if at := s.started.Add(next.at); next.record.Version > after && !at.After(end) {
			time.Sleep(time.Until(at)) // virtual
			return []Record{next.record}, next.record.Version, ctx.Err()
		}
	}
	time.Sleep(time.Until(end)) // virtual
	return nil, after, ctx.Err()
}

// TestOlderLookingStartIsTakenOnceNoLateWriteComes restarts an engine, whose clock was set back, soon after its
// start; the restart is delivered once. The entry that is in the store after lateWriteWindow decides, with no more
// than one call of the source every two seconds.
func TestOlderLookingStartIsTakenOnceNoLateWriteComes(t *testing.T) {
	initial := engineRecord("a", 200, 10)
	olderLooking := write{3 * time.Second, engineRecord("a", 100, 11)}
	for name, test := range map[string]struct {
		writes []write
		want   []int64 // start times that are listed after lateWriteWindow
	}{
		"a clock that was set back":               {[]write{olderLooking}, []int64{100}},
		"a late write":                            {[]write{olderLooking, {4 * time.Second, engineRecord("a", 200, 12)}}, []int64{200}},
		"one that ends":                           {[]write{olderLooking, {5 * time.Second, deletedRecord("a", 12)}}, nil},
		"one that is overwritten":                 {[]write{olderLooking, {5 * time.Second, unreadableRecord("a", 12)}}, nil},
		"one that tells nothing of its start":     {[]write{olderLooking, {5 * time.Second, engineRecord("a", 0, 12)}}, []int64{0}},
		"a clock that was set back, after an end": {[]write{{2 * time.Second, deletedRecord("a", 11)}, {3 * time.Second, engineRecord("a", 100, 12)}}, []int64{100}},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				source := &scriptedSource{started: time.Now(), writes: append([]write{{0, initial}}, test.writes...)}
				f := New(Options{Source: source, Observer: ignoringObserver{}})
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.Run(ctx, Engines)
				}()
				time.Sleep(lateWriteWindow - time.Millisecond) // virtual
				synctest.Wait()
				if got := startsOf(f.View(), "a"); slices.Contains(got, 100) || slices.Contains(got, 0) {
					t.Errorf("a late write is still possible, and the start times of a are %v", got)
				}
				time.Sleep(10 * time.Millisecond) // virtual
				synctest.Wait()
				if got := startsOf(f.View(), "a"); !slices.Equal(got, test.want) {
					t.Errorf("the start times of a are %v after lateWriteWindow, want %v", got, test.want)
				}
				time.Sleep(lateWriteWindow) // virtual
				if calls := source.calls.Load(); calls > 20 {
					t.Errorf("%d calls to the source in 20 s", calls)
				}
				cancel()
				<-done
			})
		})
	}
}

// TestRemovedServiceAdmitsTheDeferredEntry lets an entry of another writer with a later start time defer the engine's
// own entry while its service is configured. The own entry is accepted with the configuration that no longer names that service.
func TestRemovedServiceAdmitsTheDeferredEntry(t *testing.T) {
	f := newFollower()
	f.replace(Configurations, []Record{configurationWith(1, "s", "other")}, 1)
	foreign := engineRecord("a", 1<<52, 11)
	foreign.Engine.Service = "other"
	applyUpdates(f, []storeUpdate{
		{fullList: true, version: 10, records: []Record{engineRecord("a", 100, 10)}},
		{version: 11, records: []Record{foreign}},
		{version: 12, records: []Record{engineRecord("a", 100, 12)}},
	})
	f.change(Configurations, []Record{configurationWith(2, "s")}, 2)
	if got := startsOf(f.View(), "a"); !slices.Equal(got, []int64{100}) {
		t.Errorf("the start times of a are %v", got)
	}
}
