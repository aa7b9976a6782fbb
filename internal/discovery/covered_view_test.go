package discovery_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/routing"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// listSource has one engine and one configuration, which do not change.
type listSource struct{}

func (listSource) List(_ context.Context, collection discovery.Collection) ([]discovery.Record, uint64, error) {
	if collection == discovery.Configurations {
		return []discovery.Record{{Key: "config", Version: 1, Configuration: &routing.Configuration{Version: 1}}}, 1, nil
	}
	engine := &routing.Engine{Incarnation: routing.Incarnation{Name: "e"}, ID: "e", Service: "s"}
	return []discovery.Record{{Key: "e", Version: 1, Engine: engine}}, 1, nil
}

func (listSource) Changes(ctx context.Context, _ discovery.Collection, after uint64, wait time.Duration) ([]discovery.Record, uint64, error) {
	select {
	case <-ctx.Done():
		return nil, 0, ctx.Err()
	case <-time.After(wait): // virtual
		return nil, after, nil
	}
}

// coverageObserver records since when the view was covered at each change.
type coverageObserver struct {
	ignoringObserver
	follower *discovery.Follower
	mutex    sync.Mutex
	seen     []time.Time
}

func (o *coverageObserver) ViewChanged(discovery.Collection, *discovery.View) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.seen = append(o.seen, o.follower.CoveredSince())
}

// TestViewIsCoveredWhenItsChangeIsReported guards against an observer that looks at a view too early: the first lists were reported
// before they counted as seen, and it looked again a second later.
func TestViewIsCoveredWhenItsChangeIsReported(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		observer := &coverageObserver{}
		observer.follower = discovery.New(discovery.Options{Source: listSource{}, Observer: observer})
		var loops sync.WaitGroup
		for _, collection := range []discovery.Collection{discovery.Configurations, discovery.Engines} {
			loops.Go(func() { observer.follower.Run(ctx, collection) })
			time.Sleep(time.Second) // virtual: one collection is listed before the other
		}
		cancel()
		loops.Wait()
		if len(observer.seen) != 2 || !observer.seen[0].IsZero() || observer.seen[1].IsZero() {
			t.Errorf("covered since %v at the changes of the view, want nothing at the first list and a time at the second", observer.seen)
		}
	})
}
