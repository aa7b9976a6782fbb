package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// putRows writes rows of 40 kB into one part of a table.
func putRows(t *testing.T, table tablestore.Table, count int) {
	t.Helper()
	value := strings.Repeat("v", 40<<10)
	for number := range count {
		if _, err := table.Commit(t.Context(), put(fmt.Sprintf("t/p/%03d", number), value, 0)); err != nil {
			t.Fatal(err)
		}
	}
}

// TestRangeOfSeveralPagesIsReadThroughAPeer guards against taking rows for absent because the store ended its answer at
// 1 MB: the peer that made the call returned the rows without stating that there are more.
func TestRangeOfSeveralPagesIsReadThroughAPeer(t *testing.T) {
	store := newStore(t)
	a, b := start(t, store, "a"), start(t, store, "b")
	a.setPeers(t)
	b.setPeers(t)
	putRows(t, b.table, 80) // 3.2 MB: four answers of the store
	a.direct.partitioned.Store(true)
	rows, err := tablestore.ReadAll(t.Context(), a.table, "t/p/", "t/p/\x7f", 500)
	if err != nil || len(rows) != 80 {
		t.Errorf("%d rows, %v, want 80", len(rows), err)
	}
	if a.table.Relayed() == 0 {
		t.Error("no call went through the peer")
	}
}
