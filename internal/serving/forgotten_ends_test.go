package serving_test

import (
	"fmt"
	"testing"
	"time"
)

// closedPort is an address for peers at which nobody listens.
const closedPort = "127.99.68.1:1"

// tryUntilRefused has a client try the request with fatalBody at some processes by turns, and returns the last answer.
func tryUntilRefused(processes []*deployment, path string, from, tries int) (last answer) {
	for number := range tries {
		last = processes[number%len(processes)].try(path, fmt.Sprint("try-", from+number), fatalBody)
	}
	return last
}

// expectNoFourthEngine checks that the last try was refused, and that no more engines ended under the request than may.
func expectNoFourthEngine(t *testing.T, last answer, ended *endedEngines, processes ...*deployment) {
	t.Helper()
	expectStopped(t, last)
	if count := ended.count(); count != maxEnginesEnded {
		t.Errorf("%d engines ended under one request, want %d", count, maxEnginesEnded)
	}
	if t.Failed() {
		for _, d := range processes {
			t.Log(d.log)
		}
	}
}

// TestEndsAreKnownAfterAKillOfAll guards against losing a fourth engine to a request whose ends only processes knew that were all
// killed at once. Two others are started then, and get the client's next tries.
func TestEndsAreKnownAfterAKillOfAll(t *testing.T) {
	const further = 4
	for name, test := range map[string]struct {
		path   string
		how    ending
		before int // tries before the kill
	}{
		"after the third try":                 {path: "/plain1/", before: 3},
		"after the second try":                {path: "/plain1/", before: 2},
		"after the first try":                 {path: "/plain1/", before: 1},
		"after the second try of a stream":    {path: "/stream1/", before: 2},
		"after the second, engines silent":    {path: "/plain1/", how: ending{silent: true}, before: 2},
		"after one try of two attempts":       {path: "/plain2/", before: 1},
		"after the third try, after an event": {path: "/stream1/", how: ending{events: 1}, before: 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second, ended := serveFatal(t, 16, test.how)
			tryUntilRefused([]*deployment{first, second}, test.path, 0, test.before)
			first.process.Close()
			second.process.Close()
			third, fourth := first.runAnother("node-3", anyPort), first.runAnother("node-4", anyPort)
			for _, d := range []*deployment{third, fourth} {
				d.eventually("ready", d.process.Ready)
			}
			last := tryUntilRefused([]*deployment{third, fourth}, test.path, test.before, further)
			expectNoFourthEngine(t, last, ended, first, second, third, fourth)
		})
	}
}

// TestEndsAreKnownToProcessesThatDoNotReachEachOther guards against losing a fourth engine to a request that is tried at processes of
// which none reaches another, though all reach the store.
func TestEndsAreKnownToProcessesThatDoNotReachEachOther(t *testing.T) {
	for name, test := range map[string]struct {
		path      string
		processes int
	}{
		"two processes":           {path: "/plain1/", processes: 2},
		"two processes, a stream": {path: "/stream1/", processes: 2},
		"five processes":          {path: "/plain1/", processes: 5},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first := prepare(t)
			ended := first.addFatalEngines(16, ending{})
			first.store.Put("op", "", "config", configuration(7, fatalRoutes()...))
			processes := []*deployment{first}
			first.peerListenAddress = anyPort
			first.run("node-0", closedPort)
			for number := 1; number < test.processes; number++ {
				other := &deployment{t: t, store: first.store, engines: first.engines, peerListenAddress: anyPort}
				other.run(fmt.Sprint("node-", number), closedPort)
				processes = append(processes, other)
			}
			for _, d := range processes {
				d.eventually("ready", d.process.Ready)
			}
			last := tryUntilRefused(processes, test.path, 0, 8)
			expectNoFourthEngine(t, last, ended, processes...)
		})
	}
}

// TestEnginesThatLeaveAndEndUnderARequestCount guards against losing engine after engine to a request each of which states that it
// leaves shortly before it ends.
func TestEnginesThatLeaveAndEndUnderARequestCount(t *testing.T) {
	const leavesBefore = 300 * time.Millisecond
	for name, path := range map[string]string{"one attempt": "/plain1/", "two attempts": "/plain2/", "three attempts, a stream": "/stream3/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second, ended := serveFatal(t, 16, ending{})
			first.endEachEngine(ended, func(id string) {
				first.store.Put("servers", "", id, first.engines[id].StoreEntry("models", "draining"))
				<-time.After(leavesBefore)
			})
			last := tryUntilRefused([]*deployment{first, second}, path, 0, 8)
			expectNoFourthEngine(t, last, ended, first, second)
		})
	}
}
