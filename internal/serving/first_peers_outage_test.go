package serving

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/relay"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/topology"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// awayService is a service that answers nothing, or refuses everything, until it returns. It records when the directory is read after that.
type awayService struct {
	quickService
	refuses bool
	returns time.Time

	mutex     sync.Mutex
	readAfter time.Time
}

func (s *awayService) answer(ctx context.Context) error {
	switch {
	case !time.Now().Before(s.returns):
		return nil
	case s.refuses:
		return tablestore.ErrUnavailable
	}
	<-ctx.Done()
	return ctx.Err()
}

// Changes implements tablestore.Feed.
func (s *awayService) Changes(ctx context.Context, _ string, after uint64, _ time.Duration) ([]tablestore.Change, uint64, error) {
	return nil, after, s.answer(ctx)
}

// Snapshot implements tablestore.Feed.
func (s *awayService) Snapshot(ctx context.Context, _ string) ([]tablestore.Change, uint64, error) {
	return nil, 1, s.answer(ctx)
}

// Range implements tablestore.Table.
func (s *awayService) Range(ctx context.Context, _, _ string, _ int) (tablestore.Page, error) {
	if err := s.answer(ctx); err != nil {
		return tablestore.Page{}, err
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.readAfter.IsZero() {
		s.readAfter = time.Now()
	}
	return tablestore.Page{}, tablestore.ErrUnavailable // the test has seen what it needs
}

// TestFirstPeersAreReadWhenTheServiceReturns begins an outage after the process has joined, before it has read its peers' addresses. As
// in an attempt to join, they are to be read at once when the service returns: the process reads whole tables by itself soon.
func TestFirstPeersAreReadWhenTheServiceReturns(t *testing.T) {
	const bound = 300 * time.Millisecond // of the .8 s after which a process reads tables by itself, a slow machine needs .5 s for the read
	for _, refuses := range []bool{true, false} {
		for outage := 2 * time.Second; outage < 5*time.Second; outage += 170 * time.Millisecond {
			t.Run(fmt.Sprintf("refuses %t for %s", refuses, outage), func(t *testing.T) {
				virtualtime.Test(t, func(t *testing.T) {
					service := &awayService{refuses: refuses, returns: time.Now().Add(outage)}
					p := New(Settings{Node: "n", Topology: topology.New("zone-a", nil), IngressAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"},
						Dependencies{Table: service, Feed: service, RunID: "run",
							NewSource: func(tablestore.Feed) discovery.Source { return nil }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
					defer p.relayTable.Close()
					ctx, cancel := context.WithCancel(t.Context())
					var tasks sync.WaitGroup
					tasks.Go(func() {
						for ctx.Err() == nil { // as discovery reads a table
							call, end := context.WithTimeout(ctx, time.Second)
							_, _, err := p.watch.Snapshot(call, "table")
							end()
							if err == nil {
								return
							}
							time.Sleep(100 * time.Millisecond) // virtual time
						}
					})
					tasks.Go(func() {
						p.findFirstPeers(ctx, relay.Directory{Table: service, Node: "n", Zones: []string{"zone-a"}}, nil, &joinAttempts{returned: p.watch.ServiceReturned()})
					})
					<-p.watch.ServiceReturned()
					returned := time.Now()
					time.Sleep(5 * time.Second) // virtual time
					cancel()
					tasks.Wait()
					if after := service.readAfter.Sub(returned); service.readAfter.IsZero() || after > bound {
						t.Errorf("the addresses were read %s after it was known that the service is back, want at most %s", after, bound)
					}
				})
			})
		}
	}
}
