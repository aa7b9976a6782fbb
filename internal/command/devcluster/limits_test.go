package devcluster_test

import (
	"context"
	"encoding/json"
	"log/slog"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/command/devcluster"
)

// Limit of the tenant in the test, and what its count may lie above it.
const (
	rate      = 10.0
	burst     = 10.0
	tolerance = 20 + 0.1*(5*rate+burst)
)

// limitedCluster starts three nodes whose tenant has that limit.
func limitedCluster(ctx context.Context, t *testing.T) *devcluster.Cluster {
	t.Helper()
	source, err := os.ReadFile("../../../examples/dev-bundle.yaml")
	if err != nil {
		t.Fatal(err)
	}
	limited := strings.NewReplacer("requests_per_second: 200", "requests_per_second: 10", "burst: 200", "burst: 10").Replace(string(source))
	if limited == string(source) {
		t.Fatal("the example's tenant has no limit")
	}
	cluster, err := devcluster.Start(ctx, devcluster.Options{Bundle: []byte(limited), Nodes: 3, Logger: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	return cluster
}

// TestATenantsLimitHoldsOverTheNodesOfACell makes far more calls than a tenant may, through the
// three nodes of a cell at once. No more run than its limit and the tolerance hold in the time
// that they took, and the others are told when to come back.
func TestATenantsLimitHoldsOverTheNodesOfACell(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	cluster := limitedCluster(ctx, t)
	var ran, refused atomic.Int64
	var callers sync.WaitGroup
	begun := time.Now()
	for _, node := range cluster.Nodes {
		callers.Go(func() {
			caller := client.New(node.CallerURL, devcluster.TenantKey)
			defer caller.Close()
			for range 40 {
				switch err := callOnce(ctx, caller); {
				case err == nil:
					ran.Add(1)
				case beyondLimit(err):
					refused.Add(1)
				default:
					t.Errorf("a call failed: %v", err)
				}
			}
		})
	}
	callers.Wait()
	most := rate*time.Since(begun).Seconds() + burst + tolerance
	if float64(ran.Load()) > most || ran.Load() == 0 || refused.Load() == 0 {
		t.Errorf("%d calls ran, at most %v may; %d were refused", ran.Load(), most, refused.Load())
	}
}

// callOnce starts a program and makes its first call.
func callOnce(ctx context.Context, caller *client.Client) error {
	program, err := caller.CreateProgram(ctx, "", api.CreateProgramRequest{Class: "interactive", Budget: 100_000})
	if err != nil {
		return err
	}
	_, err = caller.Call(ctx, program.ID, 1, api.CallRequest{
		Kind: api.KindTool, Target: "lookup", Input: json.RawMessage(`{}`),
	}, nil)
	return err
}

// beyondLimit reports whether a call was refused by its tenant's limit, and told when to come back.
func beyondLimit(err error) bool {
	var problem *api.Error
	return errors.As(err, &problem) && problem.Code == api.TenantLimit && problem.RetryAfter > 0
}
