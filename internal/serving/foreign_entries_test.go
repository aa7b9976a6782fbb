package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// foreignEntries returns invalid engine entries, by the field that is wrong. Each has the
// address of a running engine of the service, which would answer.
func foreignEntries(address string) map[string]any {
	change := func(field string, value any) map[string]any {
		record := map[string]any{"service": "portal", "address": address, "zone": "zone-a", "version": "v1", "slots": 100, "state": "ready", "cold_left_ms": 0, "sequence": 1}
		if record[field] = value; value == nil {
			delete(record, field)
		}
		return record
	}
	return map[string]any{
		"entry": "no record", "state": change("state", "up"), "address": change("address", "portal.example:80"), "slots": change("slots", 1.5),
		"cold_left_ms": change("cold_left_ms", -1), "zone": change("zone", nil), "version": change("version", nil), "sequence": change("sequence", "4"),
	}
}

// hasMetric reports whether the process's metrics have a line with a name and a value.
func (d *deployment) hasMetric(name, value string) bool {
	return strings.Contains(d.metricsText(), name+" "+value+"\n")
}

// expectAnswers sends unsafe requests, which must all be answered by the given engine, or by any if it is empty.
func (d *deployment) expectAnswers(engine, round string) {
	d.t.Helper()
	for number := range 6 {
		got := d.send(http.MethodPost, "/unsafe/", "x", "X-Request-Id", fmt.Sprintf("%s-%d", round, number))
		if got.status != http.StatusOK || (engine != "" && got.body != "answer of "+engine) {
			d.t.Fatalf("round %s: got %+v, want an answer of %q", round, got, engine)
		}
	}
}

// TestEntriesOfAnotherWriterNameNoEngine writes entries that name no engine, some of them over an
// engine's own entry. They get no requests, the other engines stay listed, and the engine whose entry was
// overwritten is listed again with its own entry.
func TestEntriesOfAnotherWriterNameNoEngine(t *testing.T) {
	d := serve(t)
	address := d.engines["p1"].Address()
	for field, value := range foreignEntries(address) {
		d.store.Put("servers", "", "x-"+field, value)
	}
	for field := range foreignEntries(address) {
		name := fmt.Sprintf("pewtermill_serve_records_unreadable_total{collection=%q,field=%q}", "engines", field)
		d.eventually("counted under "+field, func() bool { return d.hasMetric(name, "1") })
	}
	if !d.hasMetric("pewtermill_serve_engines", "4") {
		t.Errorf("want 4 listed engines: %s", d.metricsText())
	}
	for field, value := range foreignEntries(address) {
		d.store.Put("servers", "", "p1", value)
		d.eventually("without p1, as its "+field+" is wrong", func() bool { return d.hasMetric("pewtermill_serve_engines", "3") })
		d.expectAnswers("p2", "wrong-"+field)
		d.store.Put("servers", "", "p1", d.engines["p1"].StoreEntry("portal", "ready"))
		d.eventually("with p1", func() bool { return d.hasMetric("pewtermill_serve_engines", "4") })
	}
	d.store.Put("servers", "", "p2", d.engines["p2"].StoreEntry("portal", "draining"))
	d.eventually("listing p2 as draining", func() bool { return d.hasMetric("pewtermill_serve_engines_ready", "3") })
	d.expectAnswers("p1", "back")
}

// TestManyEntriesOfAnotherWriter writes 600 entries at once. Each is counted, few are logged,
// and requests are served in that time.
func TestManyEntriesOfAnotherWriter(t *testing.T) {
	d := serve(t)
	start := time.Now()
	const writes = 600
	for number := range writes {
		d.store.Put("servers", "", fmt.Sprintf("x%03d", number), strings.Repeat("no record ", 1000))
		if number%100 == 0 {
			d.expectAnswers("", fmt.Sprint("among-", number))
		}
	}
	d.eventually("counted", func() bool {
		return d.hasMetric(`pewtermill_serve_records_unreadable_total{collection="engines",field="entry"}`, fmt.Sprint(writes))
	})
	d.expectAnswers("", "after")
	limit := 5 * (int(time.Since(start)/time.Second) + 2)
	if lines := strings.Count(d.log.String(), `"record unreadable"`); lines == 0 || lines > limit {
		t.Errorf("%d log records for %d entries, want %d at most", lines, writes, limit)
	}
	if !d.hasMetric("pewtermill_serve_engines", "4") {
		t.Error("an engine is not listed any more")
	}
}

// TestEntriesOfAnotherWriterArriveThroughAPeer makes the zone's watcher pass on entries
// that name no engine.
func TestEntriesOfAnotherWriterArriveThroughAPeer(t *testing.T) {
	watcher, followers := startWatched(t)
	for number := range 100 {
		watcher.store.Put("servers", "", fmt.Sprintf("x%03d", number), "no record")
	}
	watcher.store.Put("servers", "", "p1", foreignEntries(watcher.engines["p1"].Address())["state"])
	for _, follower := range followers {
		follower.eventually("without p1", func() bool {
			return follower.hasMetric("pewtermill_serve_engines", "3") &&
				follower.hasMetric(`pewtermill_serve_records_unreadable_total{collection="engines",field="entry"}`, "100")
		})
		follower.expectAnswers("p2", "through-a-peer")
	}
}

// serveThroughRelay starts a process that the store rejects, and that watches through its peer.
func serveThroughRelay(t *testing.T) *deployment {
	t.Helper()
	d := prepare(t)
	endpoint := d.store.NewEndpoint()
	t.Cleanup(endpoint.Server.Close)
	d.storeAddress, d.keysValidFor = endpoint.Address(), time.Hour // keys that expire make each process watch by itself
	d.run("node-1", anyPort)
	d.runAnother("node-2", anyPort)
	d.store.Put("op", "", "config", standard())
	d.eventually("ready, with the peer found", func() bool {
		return d.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
	})
	endpoint.SetFault(operators.Unavailable)
	d.eventually("watching through its peer", func() bool { return !d.hasMetric("pewtermill_serve_calls_relayed", "0") })
	return d
}

// TestEntriesOfAnotherWriterArriveThroughARelay makes the store reject one process, which watches
// by itself and then receives an entry that overwrites an engine's own through a call that its peer makes.
func TestEntriesOfAnotherWriterArriveThroughARelay(t *testing.T) {
	d := serveThroughRelay(t)
	d.store.Put("servers", "", "x", "no record")
	d.store.Put("servers", "", "p1", foreignEntries(d.engines["p1"].Address())["cold_left_ms"])
	d.eventually("without p1", func() bool { return d.hasMetric("pewtermill_serve_engines", "3") })
	d.expectAnswers("p2", "through-a-relay")
	d.store.Put("servers", "", "p1", d.engines["p1"].StoreEntry("portal", "ready"))
	d.eventually("with p1", func() bool { return d.hasMetric("pewtermill_serve_engines", "4") })
}

// TestEngineWhoseEntryWasOverwrittenIsNotCold overwrites the entry of an engine that reports its incarnation, and restores it
// a moment later, as the engine's next heartbeat does. A later incarnation is cold nevertheless.
func TestEngineWhoseEntryWasOverwrittenIsNotCold(t *testing.T) {
	d := prepare(t)
	for _, id := range []string{"p1", "p2"} {
		d.engines[id].Restart(firstStart)
		d.store.Put("servers", "", id, d.engines[id].StoreEntry("portal", "ready"))
	}
	bounded := standard()
	bounded["services"] = []any{
		map[string]any{"name": "models", "max_conns": 160, "engine": map[string]any{"tokens_per_event": 9, "kv_tokens": 100_000}},
		map[string]any{"name": "portal", "max_conns": 110, "cold_s": 60.0, "cold_per_s": 3.0},
	}
	d.store.Put("op", "", "config", bounded)
	d.run("node-1", anyPort)
	d.eventually("ready", d.process.Ready)
	d.store.Put("servers", "", "p1", foreignEntries(d.engines["p1"].Address())["state"])
	d.eventually("without p1", func() bool { return strings.Contains(d.log.String(), `"engines":3,`) })
	d.relist(d.engines["p1"].StoreEntry("portal", "ready"))
	if !d.hasMetric("pewtermill_serve_engines", "4") || !d.hasMetric("pewtermill_serve_engines_cold", "0") {
		t.Errorf("the engine is not listed, or cold: %s", d.log.String())
	}
	d.engines["p1"].Restart(secondStart)
	d.relist(d.engines["p1"].StoreEntry("portal", "ready"))
	if !d.hasMetric("pewtermill_serve_engines_cold", "1") {
		t.Error("a later incarnation is not cold")
	}
}
