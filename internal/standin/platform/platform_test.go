package platform

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

const propertySeed = 20260102

// TestKeyIndexMatchesSortedSet: after inserts and removals in any order the index
// yields the same keys as a sorted set. It is large enough to split chunks.
func TestKeyIndexMatchesSortedSet(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(propertySeed)
	parameters.MinSuccessfulTests = 30
	properties := gopter.NewProperties(parameters)
	property := func(seed uint64, removalPercent int) bool {
		random := rand.New(rand.NewPCG(seed, 0))
		var index keyIndex
		present := make(map[string]bool)
		for range 6000 {
			key := fmt.Sprintf("key/%05d", random.IntN(8000))
			switch {
			case present[key] && random.IntN(100) < removalPercent:
				index.remove(key)
				delete(present, key)
			case !present[key]:
				index.insert(key)
				present[key] = true
			}
		}
		start := fmt.Sprintf("key/%05d", random.IntN(8000))
		var want []string
		for key := range present {
			if key >= start {
				want = append(want, key)
			}
		}
		slices.Sort(want)
		return slices.Equal(slices.Collect(index.from(start)), want)
	}
	properties.Property("same keys", prop.ForAll(property, gen.UInt64(), gen.IntRange(0, 100)))
	properties.TestingRun(t)
}

// TestTransactionIsAllOrNothing: a failed condition is reported with its row and
// nothing is applied; revisions are not reused after a delete.
func TestTransactionIsAllOrNothing(t *testing.T) {
	p := New(Options{HistoryLimit: 2})
	writeBoth := tablestore.Transaction{
		WriteID:    "1",
		Conditions: []tablestore.Condition{{Key: "a"}, {Key: "b"}},
		Writes:     []tablestore.Write{{Key: "a"}, {Key: "b", Value: []byte("old")}},
	}
	first, err := p.Commit(t.Context(), writeBoth)
	if err != nil {
		t.Fatal(err)
	}
	stale := tablestore.Transaction{
		WriteID:    "2",
		Conditions: []tablestore.Condition{{Key: "a", Revision: first.Revisions["a"]}, {Key: "b"}},
		Writes:     []tablestore.Write{{Key: "a", Delete: true}, {Key: "b", Value: []byte("new")}},
	}
	var conflict *tablestore.ConflictError
	_, err = p.Commit(t.Context(), stale)
	if !errors.As(err, &conflict) || conflict.Index != 1 || string(conflict.Current.Value) != "old" {
		t.Fatalf("stale commit: %v", err)
	}
	page, err := p.Range(t.Context(), "a", "c", 10)
	if err != nil || len(page.Rows) != 2 || page.More || page.Rows[0].WriteID != "1" {
		t.Fatalf("page %+v, %v", page, err)
	}
	for _, remove := range []bool{true, false} {
		again := tablestore.Transaction{Writes: []tablestore.Write{{Key: "a", Delete: remove}}}
		if _, err := p.Commit(t.Context(), again); err != nil {
			t.Fatal(err)
		}
	}
	if row, _ := p.Get(t.Context(), "a"); row.Revision <= first.Revisions["a"] {
		t.Errorf("revision %d after %d", row.Revision, first.Revisions["a"])
	}
	if history := p.History(); len(history) != 2 || history[1].Sequence != 3 {
		t.Errorf("history %+v", history)
	}
}

// TestLostRepliesMayApplyLate: about half of the writes whose reply is lost
// are applied at once, the others within LateApplyMillis.
func TestLostRepliesMayApplyLate(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := New(Options{})
		p.SetFaults(Faults{LoseRepliesNext: 100, LateApplyMillis: 1000, Seed: 1})
		for i := range 100 {
			write := tablestore.Write{Key: fmt.Sprint(i)}
			_, err := p.Commit(t.Context(), tablestore.Transaction{Writes: []tablestore.Write{write}})
			if !errors.Is(err, tablestore.ErrUnknownOutcome) {
				t.Fatalf("commit: %v", err)
			}
		}
		stats := p.Stats()
		if late := int(stats.LateApplies); late < 30 || late > 70 || stats.RowsStored != 100-late {
			t.Errorf("stats %+v", stats)
		}
		time.Sleep(time.Second) // virtual
		synctest.Wait()
		if stored := p.Stats().RowsStored; stored != 100 {
			t.Errorf("%d rows after all late writes, want 100", stored)
		}
	})
}

// TestMachineListLags: a change becomes visible only after the lag.
func TestMachineListLags(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		p := New(Options{MachineLag: 10 * time.Second})
		p.Announce(tablestore.Machine{Name: "engine-1"})
		time.Sleep(9 * time.Second) // virtual
		if machines, _ := p.List(t.Context()); len(machines) != 0 {
			t.Errorf("visible before the lag: %+v", machines)
		}
		p.Withdraw("engine-1")
		time.Sleep(time.Second)
		if machines, _ := p.List(t.Context()); len(machines) != 1 {
			t.Errorf("not visible after the lag: %+v", machines)
		}
		time.Sleep(9 * time.Second)
		if machines, _ := p.List(t.Context()); len(machines) != 0 {
			t.Errorf("still visible after its withdrawal: %+v", machines)
		}
	})
}

// TestHandlerControls: machines, faults, statistics and history over HTTP.
func TestHandlerControls(t *testing.T) {
	server := httptest.NewServer(New(Options{HistoryLimit: 1}).Handler())
	defer server.Close()
	steps := []struct {
		method, path, body string
		status             int
	}{
		{"PUT", "/machines/node-1", `{"role":"node","zone":"z1"}`, http.StatusOK},
		{"GET", "/machines", "", http.StatusOK},
		{"DELETE", "/machines/node-1", "", http.StatusNoContent},
		{"POST", "/table/commit", `{"writes":[{"key":"a"}]}`, http.StatusOK},
		{"POST", "/table/commit", `{"writes":[{"key":"a","extra":1}]}`, http.StatusBadRequest},
		{"POST", "/table/commit", `{"conditions":[{"key":"a"}]}`, http.StatusConflict},
		{"GET", "/table/range?start=a&end=b&limit=x", "", http.StatusBadRequest},
		{"GET", "/objects/none", "", http.StatusNotFound},
		{"POST", "/faults", `{"down":true}`, http.StatusOK},
		{"GET", "/table/row?key=a", "", http.StatusServiceUnavailable},
		{"GET", "/stats", "", http.StatusOK},
		{"GET", "/history", "", http.StatusOK},
		{"POST", "/faults", `{"transactions_per_second":0.000001}`, http.StatusOK},
	}
	for _, step := range steps {
		if status := send(t, step.method, server.URL+step.path, step.body); status != step.status {
			t.Errorf("%s %s answered %d, want %d", step.method, step.path, status, step.status)
		}
	}
	for range limiterBurst {
		send(t, "POST", server.URL+"/table/commit", `{}`)
	}
	if status := send(t, "POST", server.URL+"/table/commit", `{}`); status != http.StatusTooManyRequests {
		t.Errorf("commit above the rate limit answered %d", status)
	}
}

func send(t *testing.T, method, url, body string) (status int) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	reply.Body.Close()
	return reply.StatusCode
}
