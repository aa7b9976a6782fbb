package serving_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// expectStopped checks that a try is refused at once, with the promise that it has not run and without an invitation to
// come back.
func expectStopped(t *testing.T, got answer) {
	t.Helper()
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, `"code":316`) || !strings.Contains(got.body, `"not_run"`) {
		t.Errorf("got status %d and %q, want 503 with code 316, not run", got.status, got.body)
	}
	if retryAfter := got.header.Get("Retry-After"); retryAfter != "" {
		t.Errorf("the client is invited to come back after %s", retryAfter)
	}
}

// TestTryAtAnyProcessKnowsWhichEnginesEnded has three engines end under a request at one process. Whichever process gets the
// next try knows it: one that has started since, one that the store turns away, one beside which the first was killed.
func TestTryAtAnyProcessKnowsWhichEnginesEnded(t *testing.T) {
	for name, next := range map[string]func(first, second *deployment) *deployment{
		"the same process":  func(first, _ *deployment) *deployment { return first },
		"another process":   func(_, second *deployment) *deployment { return second },
		"the first stopped": func(first, second *deployment) *deployment { first.process.Close(); return second },
		"the store is away": func(first, second *deployment) *deployment { first.disableStore(); return second },
		"a process that has just started": func(first, _ *deployment) *deployment {
			third := first.runAnother("node-3", anyPort)
			third.eventually("ready, with the peers found", func() bool {
				return third.process.Ready() && strings.Contains(third.log.String(), `"msg":"peers found","count":2`)
			})
			third.eventually("informed by a peer", func() bool { return strings.Contains(third.metricsText(), "pewtermill_serve_stopped_requests 1") })
			return third
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second, ended := serveFatal(t, 8, ending{})
			if got := first.try("/plain3/", "try-0", fatalBody); got.status != http.StatusBadGateway || ended.count() != maxEnginesEnded {
				t.Fatalf("the first try: status %d, %d engines ended", got.status, ended.count())
			}
			process := next(first, second)
			expectStopped(t, process.try("/plain3/", "try-1", fatalBody))
			if ended.count() > maxEnginesEnded {
				t.Errorf("%d engines ended", ended.count())
			}
			if got := process.try("/plain3/", "other", "another body"); got.status != http.StatusOK {
				t.Errorf("another request: status %d, want 200", got.status)
			}
			if got := process.try("/plain2/", "other", fatalBody); got.status != http.StatusBadGateway {
				t.Errorf("the same body on another path: status %d, want 502: it is another request", got.status)
			}
		})
	}
}

// TestTryNamesTheEnginesThatEnded shows that the line of the refused try leads to the engines, and to the earlier tries.
func TestTryNamesTheEnginesThatEnded(t *testing.T) {
	first, second, _ := serveFatal(t, 8, ending{})
	first.try("/plain3/", "try-0", fatalBody)
	second.try("/plain3/", "try-1", fatalBody)
	first.eventually("logged", func() bool {
		log := first.log.String()
		return strings.Count(log, `"msg":"engine ended under a request","request":"try-0"`) == maxEnginesEnded && strings.Contains(log, `"ended":3`)
	})
	second.eventually("logged", func() bool {
		return strings.Contains(second.log.String(), "3 engines ended one after another while they ran request ")
	})
	if text := first.metricsText(); !strings.Contains(text, `pewtermill_serve_engine_ends_total{how="refuses_connections"} 3`) {
		t.Errorf("the counter of ended engines is missing:\n%s", text)
	}
}

// TestTurnAskedAgainEndsNoMoreEngines has a program ask a turn again and again, each time with an id of its own.
func TestTurnAskedAgainEndsNoMoreEngines(t *testing.T) {
	first, second, ended := serveFatal(t, 8, ending{events: 1})
	first.store.Put("op", "", "config", configuration(8, route("kept", "stream", "models", map[string]any{"retain": true})))
	for _, d := range []*deployment{first, second} {
		d.eventually("active", func() bool { return strings.Contains(d.log.String(), `"configuration":8`) })
	}
	var last answer
	for number := range 6 {
		last = []*deployment{first, second}[number%2].turn("/kept/", "p", fmt.Sprint("t", number), "", fatalBody)
	}
	expectStopped(t, last)
	if ended.count() != maxEnginesEnded {
		t.Errorf("%d engines ended under a turn, want %d", ended.count(), maxEnginesEnded)
	}
	if got := first.turn("/kept/", "q", "u", "", "x"); got.status != http.StatusOK {
		t.Errorf("a turn of another program: status %d, want 200", got.status)
	}
}

// TestResumedStreamEndsNoMoreEngines has a client resume a stream whose engine ends after each event.
func TestResumedStreamEndsNoMoreEngines(t *testing.T) {
	first, second, ended := serveFatal(t, 8, ending{events: 1})
	for number := range 6 {
		d := []*deployment{first, second}[number%2]
		headers := []string{"X-Request-Id", fmt.Sprint("try-", number), "X-Token-Usage", "100,288", "X-Deadline-Ms", "4000"}
		if number > 0 {
			headers = append(headers, "Resumes", "try-0", "Last-Event-Id", strconv.Itoa(number))
		}
		d.send(http.MethodPost, "/stream1/", fatalBody, headers...)
	}
	if ended.count() != maxEnginesEnded {
		t.Errorf("%d engines ended under a resumed stream, want %d", ended.count(), maxEnginesEnded)
	}
}

// TestRequestIsNotRefusedForEnginesThatBreakOff has every engine break off its answer and live on. The request is not refused for it.
func TestRequestIsNotRefusedForEnginesThatBreakOff(t *testing.T) {
	d := serveDraining(t, func(string, int) { panic(http.ErrAbortHandler) })
	for number := range 5 {
		if got := d.try("/plain1/", fmt.Sprint("try-", number), "x"); strings.Contains(got.body, `"code":316`) {
			t.Fatalf("try %d was refused: %s", number, got.body)
		}
	}
}

// TestRequestIsServedAfterTwoDrainingEnginesEnded has two engines end under a request after they announced that. The request is not at
// fault: the third engine gets it, and all later tries are served.
func TestRequestIsServedAfterTwoDrainingEnginesEnded(t *testing.T) {
	var d *deployment
	d = serveDraining(t, func(id string, number int) {
		if number >= maxEnginesEnded {
			return
		}
		d.store.Put("servers", "", id, d.engines[id].StoreEntry("models", "draining"))
		d.eventually("draining", func() bool {
			return strings.Contains(d.log.String(), fmt.Sprintf(`"engines_ready":%d`, len(d.engines)-number))
		})
		d.engines[id].End()
		panic(http.ErrAbortHandler)
	})
	for number := range 5 {
		got := d.try("/plain1/", fmt.Sprint("try-", number), "x")
		if want := number >= maxEnginesEnded-1; (got.status == http.StatusOK) != want {
			t.Fatalf("try %d: got status %d and %q, served: want %t", number, got.status, got.body, want)
		}
	}
}

// serveDraining starts a process with several engines of models. run is called with each request that one of them gets, and its number.
func serveDraining(t *testing.T, run func(id string, number int)) *deployment {
	t.Helper()
	d := prepare(t)
	for number := range 6 {
		d.addEngine("x"+strconv.Itoa(number), "models")
	}
	d.store.Put("op", "", "config", configuration(7, fatalRoutes()...))
	d.run("node-1", anyPort)
	d.eventually("ready", d.process.Ready)
	var requests atomic.Int64
	for id, engine := range d.engines {
		engine.SetHandler(func(_ http.ResponseWriter, request *http.Request) bool {
			if request.URL.Path == "/plain1/" {
				run(id, int(requests.Add(1)))
			}
			return false
		})
	}
	return d
}

// TestFatalRequestsWhileProcessesAreReplaced has clients try requests that end their engines, while processes end at once and
// others start, and the store comes and goes. No try is sent on once three engines have ended under its request.
func TestFatalRequestsWhileProcessesAreReplaced(t *testing.T) {
	playFatalRequests(t, []uint64{0, 1, 2, 3, 17, 19, 27, 39}, func(ended *deployment) { ended.process.Close() })
}

// TestFatalRequestsBesidePlannedStops does so while processes are stopped as planned, beside further tries.
func TestFatalRequestsBesidePlannedStops(t *testing.T) {
	playFatalRequests(t, []uint64{0, 1, 2, 3}, func(stopped *deployment) { stopped.process.Stop(t.Context()) })
}

// playFatalRequests tries requests that end their engines, while processes are replaced and end in a given way, which runs
// beside the tries.
func playFatalRequests(t *testing.T, seeds []uint64, end func(replaced *deployment)) {
	const requests, tries = 4, 7
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			random := rand.New(rand.NewPCG(seed, 55))
			first, second, ended := serveFatal(t, 2+requests*maxEnginesEnded, ending{silent: seed%2 == 1, events: int(seed / 2)})
			processes := []*deployment{first, second}
			all := slices.Clone(processes)
			var ends sync.WaitGroup
			defer ends.Wait()
			replace := func() {
				started := first.runAnother(fmt.Sprint("node-", 10+random.IntN(1000)), anyPort)
				started.eventually("ready, with the peers found", func() bool {
					return started.process.Ready() && strings.Contains(started.log.String(), `"msg":"peers found"`)
				})
				index := random.IntN(len(processes))
				replaced := processes[index]
				ends.Go(func() { end(replaced) })
				processes[index], all = started, append(all, started)
			}
			for number := range requests {
				body, path := fmt.Sprint(fatalBody, " ", number), []string{"/plain1/", "/plain2/", "/stream1/", "/stream3/"}[random.IntN(4)]
				for try := range tries {
					processes[random.IntN(len(processes))].try(path, fmt.Sprint("r-", number, "-", try), body)
					switch random.IntN(6) {
					case 0:
						replace()
					case 1:
						restore := first.disableStore()
						processes[random.IntN(len(processes))].try(path, fmt.Sprint("r-", number, "-", try, "-without-store"), body)
						restore()
					}
				}
				if count := ended.under(body); count > maxEnginesEnded {
					t.Errorf("%d engines ended under request %d on %s, want at most %d", count, number, path, maxEnginesEnded)
					for _, d := range all {
						t.Log(d.log)
					}
				}
			}
		})
	}
}

// TestRequestsBesideAFatalOneAreServed has many requests run beside one that ends its engines, at the same engines. They share
// the fate of the first engines, but none is refused as if it were at fault, and each is served within four tries.
func TestRequestsBesideAFatalOneAreServed(t *testing.T) {
	const engines, requests, tries = 12, 60, 4
	first, second, ended := serveFatal(t, engines, ending{})
	for id, engine := range first.engines {
		if !strings.HasPrefix(id, "f") {
			continue
		}
		engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
			parsed, _ := operators.ParseRequest(request)
			select {
			case <-time.After(150 * time.Millisecond):
			case <-request.Context().Done():
				panic(http.ErrAbortHandler)
			}
			if parsed.Body != fatalBody {
				return false
			}
			ended.record(parsed.Body, id)
			engine.End()
			panic(http.ErrAbortHandler)
		})
	}
	var served, stopped atomic.Int64
	var clients sync.WaitGroup
	for number := range requests + 1 {
		clients.Go(func() {
			body := fmt.Sprint("request ", number)
			if number == requests/2 {
				body = fatalBody
			}
			for try := range tries {
				got := []*deployment{first, second}[(number+try)%2].try("/plain2/", fmt.Sprint("r-", number, "-", try), body)
				if got.status == http.StatusOK {
					served.Add(1)
					return
				}
				if strings.Contains(got.body, `"code":316`) && body != fatalBody {
					stopped.Add(1)
				}
			}
		})
	}
	clients.Wait()
	if served.Load() != requests || stopped.Load() != 0 || ended.count() > maxEnginesEnded {
		t.Errorf("%d of %d requests served, %d refused as if at fault, %d engines ended; want all, none, at most %d; logs:\n%s\n%s",
			served.Load(), requests, stopped.Load(), ended.count(), maxEnginesEnded, first.log, second.log)
	}
}
