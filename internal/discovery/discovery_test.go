package discovery_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// source is a scripted source of one configuration.
type source struct {
	mutex            sync.Mutex
	version          int64
	rowVersion       uint64 // version of the rows
	unresponsive     bool   // calls get no answer, not even those that began before
	historyGone      bool   // changes are not available
	historyStaysGone bool   // for every call, not only for the next one
	staleVersion     uint64 // version of lists, if not 0
	rejects          bool   // calls for changes fail at once
	calls            int
}

func (s *source) callCount() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

func (s *source) set(change func(*source)) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change(s)
}

func (s *source) record() discovery.Record {
	return discovery.Record{Key: "config", Version: s.rowVersion, Configuration: &routing.Configuration{Version: s.version}}
}

func (s *source) List(ctx context.Context, _ discovery.Collection) ([]discovery.Record, uint64, error) {
	time.Sleep(4 * time.Millisecond) // virtual time of an answer
	s.mutex.Lock()
	unresponsive, staleVersion, record, rowVersion := s.unresponsive, s.staleVersion, s.record(), s.rowVersion
	s.mutex.Unlock()
	if unresponsive {
		<-ctx.Done()
		return nil, 0, ctx.Err()
	}
	if staleVersion > 0 {
		return []discovery.Record{{Key: "config", Version: staleVersion, Configuration: &routing.Configuration{Version: 1}}}, staleVersion, nil
	}
	return []discovery.Record{record}, rowVersion, nil
}

func (s *source) Changes(ctx context.Context, _ discovery.Collection, after uint64, wait time.Duration) ([]discovery.Record, uint64, error) {
	end := time.Now().Add(wait)
	hung := false
	s.set(func(s *source) { s.calls++ })
	for {
		s.mutex.Lock()
		hung = hung || s.unresponsive // once an answer is lost, the connection stays unresponsive
		historyGone, record, rowVersion, rejects := s.historyGone, s.record(), s.rowVersion, s.rejects
		s.historyGone = s.historyGone && (hung || s.historyStaysGone)
		s.mutex.Unlock()
		switch {
		case rejects:
			return nil, 0, errors.New("rejected")
		case hung:
			<-ctx.Done()
			return nil, 0, ctx.Err()
		case historyGone:
			return nil, 0, errors.Mark(errors.New("history is not available"), discovery.ErrHistoryGone)
		case rowVersion > after:
			return []discovery.Record{record}, rowVersion, nil
		case !time.Now().Before(end):
			return nil, after, nil
		}
		time.Sleep(10 * time.Millisecond) // virtual time
	}
}

// ignoringObserver ignores what it is notified of.
type ignoringObserver struct{}

func (ignoringObserver) ViewChanged(discovery.Collection, *discovery.View)            {}
func (ignoringObserver) RecordUnreadable(discovery.Collection, string, uint64, error) {}
func (ignoringObserver) SourceLost(discovery.Collection, error)                       {}
func (ignoringObserver) SourceRegained(discovery.Collection, time.Duration)           {}
func versionOf(f *discovery.Follower) int64 {
	if table := f.View().Table; table != nil {
		return table.Configuration.Version
	}
	return 0
}

// withFollower runs a test in virtual time with a running follower of configurations.
func withFollower(t *testing.T, s *source, test func(f *discovery.Follower)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := discovery.New(discovery.Options{Source: s, Observer: ignoringObserver{}})
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx, discovery.Configurations)
		}()
		time.Sleep(time.Second)
		test(f)
		cancel()
		<-done
	})
}

// withBothCollections runs a test in virtual time with a running follower of both collections.
func withBothCollections(t *testing.T, s *source, test func(f *discovery.Follower)) {
	t.Helper()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := discovery.New(discovery.Options{Source: s, Observer: ignoringObserver{}})
		var loops sync.WaitGroup
		defer loops.Wait()
		defer cancel()
		for _, collection := range []discovery.Collection{discovery.Configurations, discovery.Engines} {
			loops.Go(func() { f.Run(ctx, collection) })
		}
		time.Sleep(time.Second)
		test(f)
	})
}

// TestChangeIsSeenSoonAfterSilence loses the answers of calls in flight and
// changes the configuration in between. A call that began just before the store
// went down must not be waited for long after the store is back: a soak with seed
// 910874055709 showed a wait of 10 s.
func TestChangeIsSeenSoonAfterSilence(t *testing.T) {
	s := &source{version: 1, rowVersion: 10}
	withFollower(t, s, func(f *discovery.Follower) {
		s.set(func(s *source) { s.unresponsive = true })
		time.Sleep(50 * time.Millisecond)
		s.set(func(s *source) { s.unresponsive, s.version, s.rowVersion = false, 2, 11 })
		time.Sleep(2900 * time.Millisecond)
		if got := versionOf(f); got != 2 {
			t.Errorf("version %d is active 2.9 s after the source came back, want 2", got)
		}
	})
}

// TestManyChangesCostFewCalls changes the configuration repeatedly, as when
// many engines start one after another. The last change is active soon, and changes do not cost a
// call each.
func TestManyChangesCostFewCalls(t *testing.T) {
	s := &source{version: 1, rowVersion: 10}
	withFollower(t, s, func(f *discovery.Follower) {
		before := s.callCount()
		const changes = 50
		for range changes {
			s.set(func(s *source) { s.version, s.rowVersion = s.version+1, s.rowVersion+1 })
			time.Sleep(20 * time.Millisecond)
		}
		if calls := s.callCount() - before; calls > changes/5 {
			t.Errorf("%d calls for %d changes in a second", calls, changes)
		}
		time.Sleep(300 * time.Millisecond)
		if got := versionOf(f); got != changes+1 {
			t.Errorf("version %d is active 0.3 s after the last change, want %d", got, changes+1)
		}
	})
}

// TestStaleListIsNotTaken drops the history and makes lists older than the records already
// read. They must be ignored.
func TestStaleListIsNotTaken(t *testing.T) {
	s := &source{version: 3, rowVersion: 30}
	withFollower(t, s, func(f *discovery.Follower) {
		s.set(func(s *source) { s.historyGone, s.staleVersion = true, 20 })
		time.Sleep(time.Second)
		if got := versionOf(f); got != 3 {
			t.Errorf("version %d is active after a stale list, want 3", got)
		}
		s.set(func(s *source) { s.staleVersion, s.version, s.rowVersion = 0, 4, 40 })
		time.Sleep(time.Second)
		if got := versionOf(f); got != 4 {
			t.Errorf("version %d is active, want 4", got)
		}
	})
}

// TestStaleListsAreFewWhileHistoryIsGone makes the source return lists as old as the records already
// read, and no changes after them, for a second. Each list must be followed by a pause.
func TestStaleListsAreFewWhileHistoryIsGone(t *testing.T) {
	s := &source{version: 3, rowVersion: 30}
	withFollower(t, s, func(f *discovery.Follower) {
		before := s.callCount()
		s.set(func(s *source) { s.historyGone, s.historyStaysGone, s.staleVersion = true, true, 30 })
		time.Sleep(time.Second)
		if calls := s.callCount() - before; calls > 10 {
			t.Errorf("changes were requested %d times in a second", calls)
		}
		s.set(func(s *source) {
			s.historyGone, s.historyStaysGone, s.staleVersion, s.version, s.rowVersion = false, false, 0, 4, 40
		})
		time.Sleep(500 * time.Millisecond)
		if got := versionOf(f); got != 4 {
			t.Errorf("version %d is active, want 4", got)
		}
	})
}

// TestReturnIsNoticedSoon makes the source reject calls for 5 s and then answer them, with
// no change to return. The follower must notice with the next call that the source answers, and not only
// when a watch ends.
func TestReturnIsNoticedSoon(t *testing.T) {
	s := &source{version: 1, rowVersion: 10}
	withBothCollections(t, s, func(f *discovery.Follower) {
		time.Sleep(4 * time.Second)
		s.set(func(s *source) { s.rejects = true })
		time.Sleep(5 * time.Second)
		if f.Connected() {
			t.Error("a source that rejects every call counts as connected")
		}
		s.set(func(s *source) { s.rejects = false })
		time.Sleep(500 * time.Millisecond)
		if !f.Connected() {
			t.Error("0.5 s after its return the source does not count as connected")
		}
	})
}
