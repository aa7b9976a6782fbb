package serving

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/topology"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// quickService is a table service without rows.
type quickService struct{ tablestore.Table }

// Snapshot implements tablestore.Feed.
func (quickService) Snapshot(context.Context, string) ([]tablestore.Change, uint64, error) {
	return nil, 1, nil
}

// Changes implements tablestore.Feed.
func (quickService) Changes(_ context.Context, _ string, after uint64, _ time.Duration) ([]tablestore.Change, uint64, error) {
	return nil, after, nil
}

// TestProcessWithoutPeersWaitsForNone reads a table in a process without an address for peers, which will never know any.
func TestProcessWithoutPeersWaitsForNone(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := New(Settings{Node: "n", Topology: topology.New("zone-a", nil), IngressAddress: "127.0.0.1:0", ReadyAddress: "127.0.0.1:0"},
			Dependencies{Table: quickService{}, Feed: quickService{}, RunID: "run",
				NewSource: func(tablestore.Feed) discovery.Source { return nil }, Logger: slog.New(slog.NewTextHandler(io.Discard, nil))})
		defer p.relayTable.Close()
		started := time.Now()
		if _, _, err := p.watch.Snapshot(t.Context(), "table"); err != nil || time.Since(started) > 0 {
			t.Errorf("the first read ended with %v after %s, want at once", err, time.Since(started))
		}
	})
}
