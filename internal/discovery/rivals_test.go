package discovery

import (
	"context"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// write is a record of the engines, and when it is written after a test's begin.
type write struct {
	at     time.Duration
	record Record
}

// timeline is a source of engines whose writes are planned. Its versions rise with time.
type timeline struct {
	began  time.Time
	writes []write
	calls  atomic.Int64
}

// List implements Source.
func (s *timeline) List(context.Context, Collection) ([]Record, uint64, error) {
	first := s.writes[0].record
	return []Record{first}, first.Version, nil
}

// Changes implements Source.
func (s *timeline) Changes(ctx context.Context, _ Collection, after uint64, wait time.Duration) ([]Record, uint64, error) {
	s.calls.Add(1)
	end := time.Now().Add(wait)
	for _, next := range s.writes {
		if at := s.began.Add(next.at); next.record.Version > after && !at.After(end) {
			time.Sleep(time.Until(at)) // virtual
			return []Record{next.record}, next.record.Version, ctx.Err()
		}
	}
	time.Sleep(time.Until(end)) // virtual
	return nil, after, ctx.Err()
}

// TestOlderLookingStartIsTakenOnceNoLateWriteComes restarts an engine whose clock was set back soon after its
// start, and which is told of once. What stands in its entry then decides, without a call of the source more
// than every two seconds.
func TestOlderLookingStartIsTakenOnceNoLateWriteComes(t *testing.T) {
	begin := entry("a", 200, 10)
	back := write{3 * time.Second, entry("a", 100, 11)}
	for name, test := range map[string]struct {
		writes []write
		want   []int64 // the starts that are listed once lateWrites are over
	}{
		"a clock that was set back":               {[]write{back}, []int64{100}},
		"a late write":                            {[]write{back, {4 * time.Second, entry("a", 200, 12)}}, []int64{200}},
		"one that ends":                           {[]write{back, {5 * time.Second, withdrawn("a", 12)}}, nil},
		"one that is overwritten":                 {[]write{back, {5 * time.Second, bad("a", 12)}}, nil},
		"one that tells nothing of its start":     {[]write{back, {5 * time.Second, entry("a", 0, 12)}}, []int64{0}},
		"a clock that was set back, after an end": {[]write{{2 * time.Second, withdrawn("a", 11)}, {3 * time.Second, entry("a", 100, 12)}}, []int64{100}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				source := &timeline{began: time.Now(), writes: append([]write{{0, begin}}, test.writes...)}
				f := New(Options{Source: source, Observer: unheard{}})
				done := make(chan struct{})
				go func() {
					defer close(done)
					f.Run(ctx, Engines)
				}()
				time.Sleep(lateWrites - time.Millisecond) // virtual
				synctest.Wait()
				if got := bornOf(f.View(), "a"); slices.Contains(got, 100) || slices.Contains(got, 0) {
					t.Errorf("a late write is still to be expected, and the starts of a are %v", got)
				}
				time.Sleep(10 * time.Millisecond) // virtual
				synctest.Wait()
				if got := bornOf(f.View(), "a"); !slices.Equal(got, test.want) {
					t.Errorf("the starts of a are %v once no late write comes, want %v", got, test.want)
				}
				time.Sleep(lateWrites) // virtual
				if calls := source.calls.Load(); calls > 20 {
					t.Errorf("%d calls of the source in 20 s", calls)
				}
				cancel()
				<-done
			})
		})
	}
}

// TestServiceThatIsTakenAwayLetsTheRivalIn has an entry of another writer, which tells of a later start, keep
// an engine's own out while its service is served; it is let in with the configuration that names it no more.
func TestServiceThatIsTakenAwayLetsTheRivalIn(t *testing.T) {
	f := newFollower()
	f.replace(Configurations, []Record{serving(1, "s", "other")}, 1)
	stranger := entry("a", 1<<52, 11)
	stranger.Engine.Service = "other"
	tell(f, []news{
		{whole: true, version: 10, records: []Record{entry("a", 100, 10)}},
		{version: 11, records: []Record{stranger}},
		{version: 12, records: []Record{entry("a", 100, 12)}},
	})
	f.change(Configurations, []Record{serving(2, "s")}, 2)
	if got := bornOf(f.View(), "a"); !slices.Equal(got, []int64{100}) {
		t.Errorf("the starts of a are %v", got)
	}
}
