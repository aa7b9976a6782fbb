package serving_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
	"github.com/pewtermill/pewtermill/platform"
)

// TestReplacedEngineIsNotUsed shows that a request for an engine whose
// address belongs to another one now is sent elsewhere.
func TestReplacedEngineIsNotUsed(t *testing.T) {
	d := serve(t)
	other := operators.NewEngine("other", 4)
	t.Cleanup(other.Server.CloseClientConnections)
	record := other.StoreEntry("portal", "ready")
	d.store.Put("servers", "", "p1", record) // p1's record names an address that "other" has
	d.awaitEngineEntries()
	for number := range 6 {
		if got := d.send(http.MethodPost, "/unsafe/", "x", "X-Request-Id", fmt.Sprintf("r%d", number)); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	if len(other.Requests()) > 0 {
		t.Fatal("an engine ran a request for another engine")
	}
}

// TestDrainingEngineGetsNothing shows that no new work goes to a draining engine,
// also if the change arrives while the store drops its history of changes.
func TestDrainingEngineGetsNothing(t *testing.T) {
	d := serve(t)
	d.store.SetFault(func(path, _ string) operators.Fault {
		if path == "/-/rows-feed" {
			return operators.Hang
		}
		return operators.Healthy
	})
	d.store.Server.CloseClientConnections()
	d.store.Put("servers", "", "p1", d.engines["p1"].StoreEntry("portal", "draining"))
	d.store.DropHistory()
	d.store.SetFault(nil)
	d.store.Server.CloseClientConnections()
	d.eventually("drained", func() bool { return strings.Contains(d.log.String(), `"engines_ready":3`) })
	for number := range 6 {
		if got := d.send(http.MethodPost, "/unsafe/", "x", "X-Request-Id", fmt.Sprintf("r%d", number)); got.body != "answer of p2" {
			t.Fatalf("got %+v", got)
		}
	}
}

// TestNotReadyBeforeConfiguration shows 503, not 404, without a configuration.
func TestNotReadyBeforeConfiguration(t *testing.T) {
	d := start(t)
	got := d.send(http.MethodGet, "/safe/", "", "X-Request-Id", "r1")
	if got.status != http.StatusServiceUnavailable || got.header.Get("Retry-After") == "" {
		t.Fatalf("got %+v", got)
	}
	if d.process.Ready() {
		t.Fatal("ready without a configuration")
	}
}

// TestOlderConfigurationIsNotApplied shows that an older version is never applied, and
// that an unreadable one keeps the active one.
func TestOlderConfigurationIsNotApplied(t *testing.T) {
	d := serve(t)
	d.store.Put("op", "", "config", configuration(6, route("older", "safe", "portal", nil)))
	d.store.Put("op", "", "config", "no configuration")
	d.eventually("logging the unreadable record", func() bool { return strings.Contains(d.log.String(), "record unreadable") })
	if got := d.send(http.MethodGet, "/safe/", "", "X-Request-Id", "r1"); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	d.store.Put("op", "", "config", configuration(9, route("newer", "safe", "portal", nil)))
	d.eventually("active", func() bool {
		return d.send(http.MethodGet, "/newer/", "", "X-Request-Id", "r2").status == http.StatusOK
	})
	if got := d.send(http.MethodGet, "/safe/", "", "X-Request-Id", "r3"); got.status != http.StatusNotFound {
		t.Fatalf("got %+v", got)
	}
}

// TestBadRequests expects a problem with a code for each invalid request. None of them runs.
func TestBadRequests(t *testing.T) {
	d := serve(t)
	for name, got := range map[string]struct {
		answer answer
		status int
	}{
		"no id":              {d.send(http.MethodGet, "/safe/", ""), http.StatusBadRequest},
		"malformed id":       {d.send(http.MethodGet, "/safe/", "", "X-Request-Id", "a/b"), http.StatusBadRequest},
		"malformed deadline": {d.send(http.MethodGet, "/safe/", "", "X-Request-Id", "r", "X-Deadline-Ms", "soon"), http.StatusBadRequest},
		"malformed budget":   {d.send(http.MethodPost, "/kept/", "x", "X-Request-Id", "r", "X-Program-Id", "p", "X-Token-Budget", "-1"), http.StatusBadRequest},
		"no route":           {d.send(http.MethodGet, "/nowhere/", "", "X-Request-Id", "r"), http.StatusNotFound},
		"body too large":     {d.send(http.MethodPost, "/unsafe/", strings.Repeat("x", 100_001), "X-Request-Id", "r"), http.StatusRequestEntityTooLarge},
	} {
		if got.answer.status != got.status || !strings.Contains(got.answer.body, `"code":`) {
			t.Errorf("%s: got %+v, want %d with a code", name, got.answer, got.status)
		}
	}
	if ran := len(d.requestsAt("")); ran != 0 {
		t.Errorf("%d invalid requests ran", ran)
	}
}

// TestStopCutsNothing stops a process while a stream runs.
func TestStopCutsNothing(t *testing.T) {
	d := serve(t)
	release := make(chan struct{})
	running := make(chan struct{}, 1)
	d.handleAll("m", func(http.ResponseWriter, *http.Request) bool {
		running <- struct{}{}
		<-release
		return false
	})
	answers := make(chan answer, 1)
	go func() { answers <- d.turn("/kept/", "p", "t1", "", "x") }()
	<-running
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		d.process.Stop(context.Background())
	}()
	d.eventually("not ready", func() bool {
		response, err := http.Get("http://" + d.ready + platform.ReadyPath())
		if err != nil {
			return false
		}
		response.Body.Close()
		return response.StatusCode == http.StatusServiceUnavailable
	})
	if got := d.send(http.MethodGet, "/safe/", "", "X-Request-Id", "r1"); got.status != http.StatusOK {
		t.Fatalf("a request during the stop got %+v", got)
	}
	close(release)
	if got := <-answers; got.status != http.StatusOK || got.body != fourEvents || got.cut {
		t.Fatalf("got %+v", got)
	}
	<-stopped
}

// TestDisconnectedClientFreesTheEngine shows that the engine's connection ends
// with the client's.
func TestDisconnectedClientFreesTheEngine(t *testing.T) {
	d := serve(t)
	ended := make(chan struct{}, 1)
	running := make(chan struct{}, 1)
	d.handleAll("m", func(_ http.ResponseWriter, request *http.Request) bool {
		running <- struct{}{}
		<-request.Context().Done()
		ended <- struct{}{}
		return true
	})
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+"/kept/", strings.NewReader("x"))
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "site.example"
	request.Header.Set("X-Request-Id", "t1")
	request.Header.Set("X-Token-Usage", "1,2")
	go func() {
		<-running
		cancel()
	}()
	if _, err := http.DefaultClient.Do(request); err == nil {
		t.Fatal("the request was answered")
	}
	<-ended
}

// TestTimeoutIsAnswered expects a final answer once the route's timeout has passed.
func TestTimeoutIsAnswered(t *testing.T) {
	d := serve(t)
	d.store.Put("op", "", "config", configuration(8, route("short", "safe", "portal", map[string]any{"timeout_ms": 150, "max_attempts": 3})))
	d.handleAll("p", operators.DelayHandler(20*time.Second))
	d.eventually("active", func() bool { return strings.Contains(d.log.String(), `"configuration":8`) })
	got := d.send(http.MethodGet, "/short/", "", "X-Request-Id", "r1")
	if got.status != http.StatusGatewayTimeout {
		t.Fatalf("got %+v, want 504", got)
	}
}

// TestUnresponsiveEngineIsHedged makes one engine lose its answers without an error.
// A safe request is answered by another engine long before its deadline.
func TestUnresponsiveEngineIsHedged(t *testing.T) {
	d := serve(t)
	for number := range 40 { // hedges are limited to a share of all requests
		d.send(http.MethodGet, "/safe/", "", "X-Request-Id", fmt.Sprintf("before-%d", number))
	}
	d.engines["p1"].SetHandler(operators.DelayHandler(20 * time.Second))
	for number := range 4 {
		start := time.Now()
		got := d.send(http.MethodGet, "/safe/", "", "X-Request-Id", fmt.Sprintf("r%d", number), "X-Deadline-Ms", "5000")
		if got.status != http.StatusOK || got.body != "answer of p2" {
			t.Fatalf("got %+v", got)
		}
		if took := time.Since(start); took > 3*time.Second {
			t.Fatalf("the answer took %s", took)
		}
	}
}

// TestConnectionsAreReused counts the connections that a number of requests, one
// after the other, open.
func TestConnectionsAreReused(t *testing.T) {
	d := serve(t)
	for number := range 20 {
		d.send(http.MethodGet, "/safe/", "", "X-Request-Id", fmt.Sprintf("s%d", number))
		d.send(http.MethodPost, "/unsafe/", "x", "X-Request-Id", fmt.Sprintf("u%d", number))
		d.turn("/resumed/", fmt.Sprintf("p%d", number), fmt.Sprintf("t%d", number), "", "x")
	}
	connections := int64(0)
	for _, engine := range d.engines {
		connections += engine.Connections()
	}
	if connections > 2 {
		t.Fatalf("%d connections for 60 requests to two services, one at a time; want 2", connections)
	}
}

// TestTooLargeIsAnswered sends bodies over the limit repeatedly: each client
// gets an answer, and no connection is reset before it arrives.
func TestTooLargeIsAnswered(t *testing.T) {
	d := serve(t)
	body := strings.Repeat("x", 900_000)
	for number := range 100 {
		got := d.send(http.MethodPost, "/unsafe/", body, "X-Request-Id", fmt.Sprintf("r%d", number))
		if got.status != http.StatusRequestEntityTooLarge {
			t.Fatalf("request %d got %+v (%v)", number, got, got.failure)
		}
	}
}
