package ownership

import (
	"context"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/program"
)

// TestEndedProgramsAreCollected ends one of two programs and maintains its partition
// until the retention period is over. Only the open program's rows must remain.
func TestEndedProgramsAreCollected(t *testing.T) {
	c := newTestCluster(t, 1, "a")
	c.snapshot.Bundle.Limits.EndedKeepMillis = 1
	ids := createPrograms(t, c, 2)
	owner := c.node("a")
	ctx := context.Background()
	for _, id := range ids {
		execute(t, owner, id, 1)
	}
	if _, err := owner.End(ctx, "dev", ids[0], api.OK); err != nil {
		t.Fatal(err)
	}
	deadline := time.Now().Add(time.Minute)
	for rowsOf(t, c, ids[0]) > 0 && time.Now().Before(deadline) {
		if err := owner.MaintainPartition(ctx, "dev", program.PartitionOf(ids[0])); err != nil {
			t.Fatal(err)
		}
	}
	if rows := rowsOf(t, c, ids[0]); rows != 0 {
		t.Errorf("%d rows of the ended program remain", rows)
	}
	if err := owner.MaintainPartition(ctx, "dev", program.PartitionOf(ids[1])); err != nil {
		t.Fatal(err)
	}
	if rows := rowsOf(t, c, ids[1]); rows != 2 {
		t.Errorf("%d rows of the open program, want 2: its header and its call", rows)
	}
}

// rowsOf counts the rows of a program: its header and its calls.
func rowsOf(t *testing.T, c *testCluster, id string) int {
	t.Helper()
	ctx := context.Background()
	header, err := c.table.Get(ctx, program.HeaderKey(id))
	if err != nil {
		t.Fatal(err)
	}
	calls, err := c.table.Range(ctx, program.CallKey(id, 1), program.CallKey(id, callsPerProgram), callsPerProgram)
	if err != nil {
		t.Fatal(err)
	}
	if header.Revision == 0 {
		return len(calls.Rows)
	}
	return len(calls.Rows) + 1
}
