package originrecord

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/origins"
	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// TestStreamsAreKnownAfterAKill has two processes begin streams of two versions and kills both. One that starts knows the version
// of every stream that was begun before the last write, and of no other.
func TestStreamsAreKnownAfterAKill(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first, second := startProcess(t, "a", store), startProcess(t, "b", store)
		versions := make(map[string]string)
		for range 20 {
			for _, name := range first.begin("v1", 1) {
				versions[name] = "v1"
			}
			for _, name := range second.begin("v2", 2) {
				versions[name] = "v2"
			}
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(2 * minWritePeriod)
		first.kill()
		second.kill()
		third := startProcess(t, "c", store)
		for name, version := range versions {
			if got := third.origin(name); got != version {
				t.Errorf("stream %s of version %s: got %q", name, version, got)
			}
		}
		if got := third.origin("nobodys"); got != "" {
			t.Errorf("a stream of no row: got version %q", got)
		}
		third.kill()
	})
}

// TestStreamWithoutAnEventIsNotRecorded sends a stream to an engine that gives no event, and then to one of another version. A row
// must not name the first one at any time.
func TestStreamWithoutAnEventIsNotRecorded(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		p := startProcess(t, "a", store)
		first := p.send("stream", "v1", 1)
		p.begin("v1", 1) // has a row written
		time.Sleep(2*minWritePeriod + reuseFor)
		if got := p.origin("stream"); got != "" {
			t.Errorf("before its first event: got version %q", got)
		}
		second := p.send("stream", "v2", 2)
		p.client.Began(first) // of the send that was replaced
		time.Sleep(2*minWritePeriod + reuseFor)
		if got := p.origin("stream"); got != "" {
			t.Errorf("before the first event of the second send: got version %q", got)
		}
		p.client.Began(second)
		time.Sleep(2*minWritePeriod + reuseFor)
		if got := p.origin("stream"); got != "v2" {
			t.Errorf("after its first event: got version %q, want v2", got)
		}
		p.kill()
	})
}

// TestContradictingRowsProveNothing has two processes name one stream with different versions.
func TestContradictingRowsProveNothing(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first, second := startProcess(t, "a", store), startProcess(t, "b", store)
		first.client.Began(first.send("stream", "v1", 1))
		second.client.Began(second.send("stream", "v2", 1))
		other := second.begin("v2", 1)[0]
		time.Sleep(3 * minWritePeriod)
		if got := first.origin("stream"); got != "" {
			t.Errorf("got version %q of a stream that rows contradict each other on", got)
		}
		if got := first.origin(other); got != "v2" {
			t.Errorf("another stream: got version %q, want v2", got)
		}
		first.kill()
		second.kill()
	})
}

// TestNoCallsWhileOneVersionServes begins streams while one version serves. Once a second one is listed, those that clients may
// still resume are recorded.
func TestNoCallsWhileOneVersionServes(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		p := startProcess(t, "a", store)
		p.set(false, 1)
		for range 600 {
			p.begin("v1", 1)
			time.Sleep(100 * time.Millisecond)
		}
		if commits, reads := store.counts(); commits+reads > 0 {
			t.Errorf("%d commits and %d reads in a minute with one version, want none", commits, reads)
		}
		last := p.begin("v1", 1)[0]
		p.set(true, 1)
		p.keeper.Wake()
		time.Sleep(minWritePeriod)
		if got := p.origin(last); got != "v1" {
			t.Errorf("once a second version is listed: got version %q of a stream of the first, want v1", got)
		}
		p.kill()
	})
}

// TestWritesAreBounded begins 200 streams a second for ten seconds, beside different numbers of processes.
func TestWritesAreBounded(t *testing.T) {
	for _, processes := range []int{1, 12, 80, 420} {
		t.Run(fmt.Sprint(processes), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				const seconds = 10
				store := newTable()
				p := startProcess(t, "a", store)
				p.set(true, processes)
				for range seconds * 200 {
					p.begin("v1", 1)
					time.Sleep(5 * time.Millisecond)
				}
				commits, _ := store.counts()
				if most := seconds*min(int(time.Second/minWritePeriod), maxFleetWrites/processes) + seconds + 1; commits == 0 || commits > most {
					t.Errorf("%d writes in %d s beside %d processes, want 1 to %d", commits, seconds, processes, most)
				}
				p.kill()
			})
		})
	}
}

// TestRowIsWrittenForNewStreamsOnly lets streams of a row expire while others do not, and then all. The row is not written for
// what it no longer needs, and removed in the end.
func TestRowIsWrittenForNewStreamsOnly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		p := startProcess(t, "a", store)
		p.begin("v1", 10)
		time.Sleep(streamTime / 2)
		p.begin("v2", 10)
		time.Sleep(2 * minWritePeriod)
		before, _ := store.counts()
		time.Sleep(streamTime / 2)
		if after, _ := store.counts(); after != before {
			t.Errorf("%d writes while streams expired, want none", after-before)
		}
		time.Sleep(streamTime)
		if keys := store.keys(); len(keys) > 0 {
			t.Errorf("rows %v are left after all streams expired", keys)
		}
		p.kill()
	})
}

// TestRowHoldsTheNewestStreams begins more streams than a row holds, at starts with long names.
func TestRowHoldsTheNewestStreams(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for name, starts := range map[string]int{"few starts": 3, "a start for each stream": 10_000} {
		t.Run(name, func(t *testing.T) {
			var newestFirst []origins.Origin
			for number := range 10_000 {
				newestFirst = append(newestFirst, origins.Origin{Stream: fmt.Sprint(number), Service: "models", Version: "v1\x01\"",
					Engine: fmt.Sprintf("engine-%d", number%starts), ExpiresAt: now.Add(streamTime)})
			}
			content, streams := newRow(newestFirst, now)
			value, err := json.Marshal(content)
			if err != nil {
				t.Fatal(err)
			}
			if len(value) > maxRowBytes || len(streams) < 100 {
				t.Errorf("%d streams in %d bytes, want at least 100 in at most %d", len(streams), len(value), maxRowBytes)
			}
			for number := range newestFirst {
				if _, named := streams[fmt.Sprint(number)]; named != (number < len(streams)) {
					t.Fatalf("of %d streams, the one at %d: %v; want the newest", len(streams), number, named)
				}
			}
			decoded, err := decodeRow(value)
			all := newIndex()
			all.add(decoded)
			if _, found := all.find("0", now); err != nil || !found || decoded.keep() != streamTime {
				t.Errorf("decoded: %v, found %v, keep %s", err, found, decoded.keep())
			}
		})
	}
}

// TestFullRowIsNotWrittenAgain begins more streams than the row holds. Those that do not fit are no reason to write it.
func TestFullRowIsNotWrittenAgain(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		p := startProcess(t, "a", store)
		p.begin("v1", 2*maxRowBytes/bytesPerStream)
		time.Sleep(3 * minWritePeriod)
		before, _ := store.counts()
		time.Sleep(streamTime / 2)
		if after, _ := store.counts(); before == 0 || after != before {
			t.Errorf("%d writes, then %d more without a new stream", before, after-before)
		}
		p.kill()
	})
}

// TestWritesEndWithTheOutage has calls fail for a while, with and without effect, and with the row removed by another process
// afterwards. Streams go on beginning, few calls are made, and the row is written in the end.
func TestWritesEndWithTheOutage(t *testing.T) {
	for name, test := range map[string]struct {
		failure error
		applies bool
		latency time.Duration
		removed bool
	}{
		"throttled":       {failure: tablestore.ErrThrottled},
		"away":            {failure: tablestore.ErrUnavailable},
		"answers lost":    {failure: tablestore.ErrUnknownOutcome, applies: true},
		"silent":          {latency: time.Minute},
		"removed by peer": {failure: tablestore.ErrUnknownOutcome, applies: true, removed: true},
	} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				store := newTable()
				p := startProcess(t, "a", store)
				p.begin("v1", 1)
				time.Sleep(minWritePeriod)
				store.set(func(s *table) {
					s.failure, s.applies = test.failure, test.applies
					s.latency += test.latency
				})
				before, _ := store.counts()
				for range 200 {
					start := time.Now()
					p.begin("v1", 1)
					if took := time.Since(start); took > 0 {
						t.Fatalf("a stream waited %s", took)
					}
					time.Sleep(50 * time.Millisecond)
				}
				if after, _ := store.counts(); after-before > 30 || p.failureCount() == 0 {
					t.Errorf("%d calls in ten seconds of an outage, %d failures reported; want 30 at most, and some", after-before, p.failureCount())
				}
				if got := p.origin("nobodys"); got != "" {
					t.Errorf("a stream that nobody began: got version %q", got)
				}
				store.set(func(s *table) {
					s.failure, s.applies, s.latency = nil, false, 4*time.Millisecond
					if test.removed {
						delete(s.rows, rowPrefix+"a")
					}
				})
				time.Sleep(lastRetry + time.Second)
				last := p.begin("v1", 1)[0]
				time.Sleep(2 * minWritePeriod)
				if got := p.origin(last); got != "v1" {
					t.Errorf("after the outage: got version %q, want v1", got)
				}
				p.kill()
			})
		})
	}
}

// TestStreamsShareAReadAndWaitBriefly resumes streams at once. They share a read, and wait no longer than the limit for a store
// that is silent.
func TestStreamsShareAReadAndWaitBriefly(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		first := startProcess(t, "a", store)
		names := first.begin("v1", 50)
		time.Sleep(2 * minWritePeriod) // a first row may lack some of them
		first.kill()
		p := startProcess(t, "b", store)
		findAll := func() (known int, longest time.Duration) {
			var mutex sync.Mutex
			var resumed sync.WaitGroup
			for _, name := range names {
				resumed.Go(func() {
					start := time.Now()
					version := p.origin(name)
					mutex.Lock()
					defer mutex.Unlock()
					longest = max(longest, time.Since(start))
					if version == "v1" {
						known++
					}
				})
			}
			resumed.Wait()
			return known, longest
		}
		if known, _ := findAll(); known != len(names) {
			t.Errorf("%d of %d streams are known", known, len(names))
		}
		if _, reads := store.counts(); reads != 1 {
			t.Errorf("%d reads, want one for all", reads)
		}
		time.Sleep(reuseFor)
		store.set(func(s *table) { s.latency = time.Minute })
		if known, longest := findAll(); known > 0 || longest > findTimeout {
			t.Errorf("with a silent store %d streams are known, after %s at most; want none after %s", known, longest, findTimeout)
		}
		p.kill()
		time.Sleep(callTimeout) // the read ends
	})
}

// TestRowsOfEndedProcessesAreRemoved kills a process, and lets others run on, which begin streams or none. Its row is kept as long as
// clients may resume its streams, and removed later; those of the others are kept.
func TestRowsOfEndedProcessesAreRemoved(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		killed, running, sweeping := startProcess(t, "a", store), startProcess(t, "b", store), startProcess(t, "c", store)
		name := killed.begin("v1", 1)[0]
		time.Sleep(minWritePeriod)
		killed.kill()
		for range 15 {
			running.begin("v2", 1)
			time.Sleep(streamTime / 15)
		}
		if got := sweeping.origin(name); got != "v1" {
			t.Errorf("while the client may come back: got version %q, want v1", got)
		}
		kept := ""
		for range 120 {
			kept = running.begin("v2", 1)[0]
			time.Sleep(time.Second)
		}
		if keys := store.keys(); slices.Contains(keys, rowPrefix+"a") || !slices.Contains(keys, rowPrefix+"b") {
			t.Errorf("rows %v are left two minutes later, want that of the running process alone", keys)
		}
		if got := sweeping.origin(kept); got != "v2" {
			t.Errorf("a stream of the running process: got version %q, want v2", got)
		}
		_, before := store.counts()
		for _, p := range []*process{running, sweeping} {
			p.set(false, 1)
		}
		time.Sleep(2 * time.Minute)
		_, settled := store.counts()
		time.Sleep(time.Hour)
		if _, after := store.counts(); after != settled || settled-before > 12 {
			t.Errorf("%d reads after the release, %d in the hour after; want 12 at most, and none", settled-before, after-settled)
		}
		running.kill()
		sweeping.kill()
	})
}

// TestInvalidRowsAreIgnored stores rows that cannot be decoded, or name no version, beside a valid one.
func TestInvalidRowsAreIgnored(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		store := newTable()
		hash := hashOf("stream")
		for number, content := range []any{
			"text",
			map[string]any{"s": []any{nil}},
			row{Starts: []*start{{startKey: startKey{Service: "models", Version: "v2"}, Streams: hash[:5]}}},
			row{Starts: []*start{{startKey: startKey{Service: "models"}, Streams: hash[:]}}},
			row{Starts: []*start{{startKey: startKey{Service: "models", Version: "v1"}, Streams: hash[:]}}},
		} {
			value, err := json.Marshal(content)
			if err != nil {
				t.Fatal(err)
			}
			key := rowPrefix + fmt.Sprint(number)
			store.set(func(s *table) { s.rows[key] = tablestore.Row{Key: key, Value: value, Revision: 1} })
		}
		p := startProcess(t, "z", store)
		if got := p.origin("stream"); got != "v1" || p.failureCount() != 4 {
			t.Errorf("got version %q with %d failures, want v1 with 4", got, p.failureCount())
		}
		p.kill()
	})
}
