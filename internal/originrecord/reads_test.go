package originrecord

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// pagedTable returns pages of at most 500 rows or 1 MB, after a call's time.
type pagedTable struct {
	*table
	calls int
}

// Range implements tablestore.Table.
func (s *pagedTable) Range(_ context.Context, start, end string, limit int) (tablestore.Page, error) {
	time.Sleep(3 * time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.calls++
	var page tablestore.Page
	size := 0
	for number := range fleetProcesses {
		row := s.rows[rowPrefix+fmt.Sprintf("run-%03d", number)]
		if row.Key < start || row.Key >= end {
			continue
		}
		if size += len(row.Value); size > 1<<20 || len(page.Rows) == limit {
			page.More = true
			break
		}
		page.Rows = append(page.Rows, row)
	}
	return page, nil
}

const fleetProcesses = 420

// TestReadsOfALargeFleetAreBounded has 420 processes ended at once with 500 streams each in their rows. Callers take streams up at all of
// those that start. Their reads stay below what the store accepts for all purposes.
func TestReadsOfALargeFleetAreBounded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		const (
			readsPerSecond = 6000 // that the store accepts of all nodes
			streams        = 500
			seconds        = 3
		)
		store := &pagedTable{table: newTable()}
		for number := range fleetProcesses {
			var begun []origins.Origin
			for stream := range streams {
				begun = append(begun, origins.Origin{Stream: fmt.Sprintf("%d-%d", number, stream), Service: "models", Version: "v1", Engine: "engine", ExpiresAt: time.Now().Add(streamTime)})
			}
			content, _ := newRow(begun, time.Now())
			value, err := json.Marshal(content)
			if err != nil {
				t.Fatal(err)
			}
			key := rowPrefix + fmt.Sprintf("run-%03d", number)
			store.rows[key] = tablestore.Row{Key: key, Value: value, Revision: 1}
		}
		keeper := New(Options{Table: store, RunID: "z", Processes: func() int { return fleetProcesses }})
		for end := time.Now().Add(seconds * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
			if origin, found, err := keeper.Find(t.Context(), "419-499"); err != nil || !found || origin.Version != "v1" {
				t.Fatalf("got %+v, %v, %v", origin, found, err)
			}
		}
		if all := store.calls * fleetProcesses / seconds; all > readsPerSecond {
			t.Errorf("%d calls a second of %d processes, of %d that the store accepts for all purposes", all, fleetProcesses, readsPerSecond)
		}
		time.Sleep(callTimeout)
	})
}
