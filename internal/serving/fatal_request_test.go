package serving_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// maxEnginesEnded is how many engines may end under one request, over all tries of its client.
const maxEnginesEnded = 3

// fatalBody begins the bodies of requests that end every engine that runs them.
const fatalBody = "ends its engine"

// ending is how an engine ends under a request.
type ending struct {
	silent bool // it becomes unresponsive; otherwise its connections are closed and further ones refused
	events int  // it sends so many events of a stream first
}

// endedEngines records which engines ended under requests, by the body.
type endedEngines struct {
	mutex  sync.Mutex
	byBody map[string]map[string]bool
}

func (e *endedEngines) record(body, id string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.byBody[body] == nil {
		e.byBody[body] = make(map[string]bool)
	}
	e.byBody[body][id] = true
}

// under returns how many engines have ended under the request with a body.
func (e *endedEngines) under(body string) int {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return len(e.byBody[body])
}

// count returns how many engines have ended under the request with fatalBody.
func (e *endedEngines) count() int { return e.under(fatalBody) }

// includes reports whether an engine has ended under the request with fatalBody.
func (e *endedEngines) includes(id string) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.byBody[fatalBody][id]
}

// addFatalEngines replaces the engines of models by a number of others that end under a request with fatalBody.
func (d *deployment) addFatalEngines(count int, how ending) *endedEngines {
	d.t.Helper()
	for _, id := range []string{"m1", "m2"} {
		d.store.Remove("servers", "", id)
		delete(d.engines, id)
	}
	ended := &endedEngines{byBody: make(map[string]map[string]bool)}
	for number := range count {
		d.addFatalEngine("f"+strconv.Itoa(number), how, ended)
	}
	return ended
}

// addFatalEngine adds an engine of models that ends under a request with fatalBody.
func (d *deployment) addFatalEngine(id string, how ending, ended *endedEngines) {
	engine := d.newEngine(id)
	engine.SetHandler(func(writer http.ResponseWriter, request *http.Request) bool {
		parsed, _ := operators.ParseRequest(request)
		if !strings.HasPrefix(parsed.Body, fatalBody) {
			return false
		}
		ended.record(parsed.Body, id)
		if how.silent { // before the events, so that the engine takes no connection once it stops sending
			if err := engine.FallSilent(); err != nil {
				d.t.Error(err)
			}
		}
		if how.events > 0 {
			operators.WriteAnswerHeader(writer, parsed.ID, "seal-of-"+id, http.StatusOK, true)
			for number := range how.events {
				operators.WriteEvent(writer, parsed.LastEventID+1+number, "event")
			}
		}
		if !how.silent {
			engine.End()
			panic(http.ErrAbortHandler)
		}
		<-request.Context().Done()
		panic(http.ErrAbortHandler)
	})
	d.store.Put("servers", "", id, engine.StoreEntry("models", "ready"))
}

// fatalRoutes returns routes to models, whose requests may run on one to three engines, as plain requests and as streams.
func fatalRoutes() []map[string]any {
	var routes []map[string]any
	for attempts := 1; attempts <= 3; attempts++ {
		fields := map[string]any{"max_attempts": attempts, "resumable": true}
		routes = append(routes,
			route(fmt.Sprint("plain", attempts), "safe", "models", fields),
			route(fmt.Sprint("stream", attempts), "stream", "models", fields))
	}
	return routes
}

// serveFatal starts two processes that have found each other, with engines that end under a request with fatalBody.
func serveFatal(t *testing.T, engines int, how ending) (first, second *deployment, ended *endedEngines) {
	t.Helper()
	first = prepare(t)
	ended = first.addFatalEngines(engines, how)
	first.store.Put("op", "", "config", configuration(7, fatalRoutes()...))
	first.run("node-1", anyPort)
	second = first.runAnother("node-2", anyPort)
	for _, d := range []*deployment{first, second} {
		d.eventually("ready, with the peer found", func() bool {
			return d.process.Ready() && strings.Contains(d.log.String(), `"msg":"peers found","count":1`)
		})
	}
	return first, second, ended
}

// try sends one try of a client's request to models. Every try has an id of its own.
func (d *deployment) try(path, id, body string) answer {
	d.t.Helper()
	headers := []string{"X-Request-Id", id, "X-Deadline-Ms", "4000"}
	if strings.HasPrefix(path, "/stream") {
		headers = append(headers, "X-Token-Usage", "100,288")
	}
	return d.send(http.MethodPost, path, body, headers...)
}

// TestRequestEndsNoMoreThanThreeEngines guards against losing engine after engine to a request that ends each one that
// runs it, within one try and over the tries of its client at two processes.
func TestRequestEndsNoMoreThanThreeEngines(t *testing.T) {
	const engines, tries = 16, 8
	for name, test := range map[string]struct {
		path string
		how  ending
	}{
		"refuses, plain, one attempt":               {path: "/plain1/"},
		"refuses, plain, two attempts":              {path: "/plain2/"},
		"refuses, plain, three attempts":            {path: "/plain3/"},
		"refuses, stream, one attempt":              {path: "/stream1/"},
		"refuses, stream, three attempts":           {path: "/stream3/"},
		"refuses after an event, three attempts":    {path: "/stream3/", how: ending{events: 1}},
		"unresponsive, plain, one attempt":          {path: "/plain1/", how: ending{silent: true}},
		"unresponsive, plain, three attempts":       {path: "/plain3/", how: ending{silent: true}},
		"unresponsive, stream, one attempt":         {path: "/stream1/", how: ending{silent: true}},
		"unresponsive after an event, one attempt":  {path: "/stream1/", how: ending{silent: true, events: 1}},
		"unresponsive, stream, three attempts":      {path: "/stream3/", how: ending{silent: true}},
		"unresponsive after an event, two attempts": {path: "/stream2/", how: ending{silent: true, events: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second, ended := serveFatal(t, engines, test.how)
			var statuses, endedBy []int
			for number := range tries {
				before := ended.count()
				got := []*deployment{first, second}[number%2].try(test.path, fmt.Sprint("try-", number), fatalBody)
				statuses, endedBy = append(statuses, got.status), append(endedBy, ended.count()-before)
			}
			if count := ended.count(); count > maxEnginesEnded {
				t.Errorf("%d engines ended under one request, want at most %d; by each try: %v, statuses: %v; logs:\n%s\n%s", count, maxEnginesEnded, endedBy, statuses, first.log, second.log)
			}
		})
	}
}
