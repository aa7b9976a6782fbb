package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// maxOddRow is how many bytes a row of the store may hold.
const maxOddRow = 64 << 10

// oddEntries returns values that another writer may leave in any row: nested deeply, with numbers and ports beyond their ranges,
// incomplete, or no text.
func oddEntries(address string) map[string][]byte {
	host := address[:strings.LastIndexByte(address, ':')]
	entry := func(field, value string) []byte {
		fields := map[string]string{"service": `"portal"`, "address": `"` + address + `"`, "zone": `"zone-a"`, "version": `"v1"`, "slots": "100",
			"state": `"ready"`, "cold_left_ms": "0", "sequence": "1", "born": "1"}
		fields[field] = value
		var text strings.Builder
		for name, value := range fields {
			fmt.Fprintf(&text, ",%q:%s", name, value)
		}
		return []byte("{" + text.String()[1:] + "}")
	}
	odd := map[string][]byte{
		"empty": {}, "nul": []byte("\x00"), "null": []byte("null"), "list": []byte("[]"), "number": []byte("1e400"), "invalid-text": []byte("\"\xff\xfe\""),
		"unclosed": []byte(`{"service":{"a":{"a":`), "long-version": entry("version", `"`+strings.Repeat("v", maxOddRow-200)+`"`),
		"rows": []byte(`{"w":1e400,"e":[{"e":"x","s":99999999999999999999}]}`),
	}
	for _, depth := range []int{9_000, 12_000, maxOddRow/2 - 200} {
		odd[fmt.Sprint("arrays-", depth)] = []byte(strings.Repeat("[", depth) + strings.Repeat("]", depth))
		odd[fmt.Sprint("objects-", depth)] = []byte(strings.Repeat(`{"a":`, min(depth, maxOddRow/5)))
		odd[fmt.Sprint("nested-slots-", depth)] = entry("slots", strings.Repeat("[", depth)+strings.Repeat("]", depth))
	}
	for _, field := range []string{"slots", "sequence", "cold_left_ms", "born"} {
		for _, number := range []string{"1e400", "-1e400", "99999999999999999999", "-9223372036854775809", "1e18"} {
			odd[field+number] = entry(field, number)
		}
	}
	for _, port := range []string{"0", "-1", "70000", "99999999999999999999", "http", ""} {
		odd["port"+port] = entry("address", `"`+host+":"+port+`"`)
	}
	return odd
}

// followsChanges changes the engines' list and the configuration, and checks that processes follow both.
func followsChanges(t *testing.T, version int, processes ...*deployment) {
	t.Helper()
	store, engine := processes[0].store, processes[0].engines["p1"]
	store.Put("servers", "", "p1", engine.StoreEntry("portal", "draining"))
	next := standard()
	next["version"] = version
	store.Put("op", "", "config", next)
	for number, d := range processes {
		d.awaitEngineEntries()
		d.eventually("following the engines", func() bool { return d.hasMetric("pewtermill_serve_engines_ready", "3") })
		d.eventually("following the configuration", func() bool { return d.isActive(fmt.Sprint(version)) })
		d.expectAnswers("p2", fmt.Sprint("follows-", version, "-", number))
	}
	store.Put("servers", "", "p1", engine.StoreEntry("portal", "ready"))
	for _, d := range processes {
		d.eventually("listing the engine again", func() bool { return d.hasMetric("pewtermill_serve_engines_ready", "4") })
	}
}

// TestProcessesFollowListsBesideOddEntries guards against processes that end, or no longer follow the engines or the configuration, once
// another writer has left an odd entry among those of the engines: at the process that reads the store, at those that it tells, through a
// relay, and at one that starts and reads a page of such entries.
func TestProcessesFollowListsBesideOddEntries(t *testing.T) {
	watcher, followers := startWatched(t)
	all := append([]*deployment{watcher}, followers...)
	for name, value := range oddEntries(watcher.engines["p1"].Address()) {
		watcher.store.PutBytes("servers", "", "odd-"+name, value)
	}
	followsChanges(t, 8, all...)
	for _, value := range oddEntries(watcher.engines["p1"].Address()) {
		watcher.store.PutBytes("servers", "", "p2", value)
	}
	watcher.store.Put("servers", "", "p2", watcher.engines["p2"].StoreEntry("portal", "ready"))
	followsChanges(t, 9, all...)
	started := watcher.runAnother("node-9", anyPort)
	started.eventually("ready", started.process.Ready)
	followsChanges(t, 10, append(all, started)...)
}

// TestProcessFollowsListsBesideOddEntriesThroughARelay does so at a process that the store rejects.
func TestProcessFollowsListsBesideOddEntriesThroughARelay(t *testing.T) {
	d := serveThroughRelay(t)
	for name, value := range oddEntries(d.engines["p1"].Address()) {
		d.store.PutBytes("servers", "", "odd-"+name, value)
	}
	followsChanges(t, 8, d)
}

// TestProcessesServeBesideOddRowsOfOtherTables leaves odd values among the operator's rows and those that processes write themselves.
// Those that run serve on and follow changes, and so does one that starts.
func TestProcessesServeBesideOddRowsOfOtherTables(t *testing.T) {
	watcher, followers := startWatched(t)
	all := append([]*deployment{watcher}, followers...)
	number := 0
	for _, value := range oddEntries(watcher.engines["p1"].Address()) {
		number++
		watcher.store.PutBytes("op", "", fmt.Sprint("odd-", number), value)
		watcher.store.PutBytes("op", "", fmt.Sprint("evacuate/odd-", number), value)
		watcher.store.PutBytes("stream-origins", "recent", fmt.Sprint("odd-", number), value)
		watcher.store.PutBytes("request-ends", "", fmt.Sprintf("%032x/odd", number), value)
		watcher.store.PutBytes("request-ends", "", fmt.Sprint("odd-", number), value)
		watcher.store.PutBytes("relay-members", "zone-a", fmt.Sprint("odd-", number), value)
		watcher.store.PutBytes("quota-holders", "", fmt.Sprint("odd-", number), value)
	}
	started := watcher.runAnother("node-9", anyPort)
	started.eventually("ready", started.process.Ready)
	all = append(all, started)
	followsChanges(t, 8, all...)
	for _, value := range oddEntries(watcher.engines["p1"].Address()) {
		watcher.store.PutBytes("op", "", "config", value)
		watcher.store.PutBytes("stream-versions", "", "record", value)
	}
	followsChanges(t, 9, all...)
	for number, d := range all {
		if got := d.send(http.MethodGet, "/safe/", "", "X-Request-Id", fmt.Sprint("last-", number)); got.status != http.StatusOK {
			t.Errorf("got status %d and %q beside odd rows", got.status, got.body)
		}
	}
}
