package serving_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// sendAndCancel sends a turn and cancels it before it is answered, once the condition holds.
func (d *deployment) sendAndCancel(id string, condition func() bool) {
	d.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.address+"/kept/", strings.NewReader("x"))
	if err != nil {
		d.t.Fatal(err)
	}
	request.Host = "site.example"
	for name, value := range map[string]string{"X-Request-Id": id, "X-Program-Id": "p-" + id, "X-Session-Id": "s",
		"X-Token-Budget": "2304", "X-Token-Usage": "100,288", "X-Deadline-Ms": "4000"} {
		request.Header.Set(name, value)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		if answer, err := http.DefaultClient.Do(request); err == nil {
			_ = answer.Body.Close()
		}
	}()
	d.eventually("waiting", condition)
	cancel()
	<-ended
}

// TestNothingReachesAnEngineOnceTheClientDisconnected cancels requests while their turns wait: for the store, and for a slot
// at engines that are all full. None of them reaches an engine later.
func TestNothingReachesAnEngineOnceTheClientDisconnected(t *testing.T) {
	d := serve(t)
	ended := func(id string) func() bool {
		return func() bool { return strings.Contains(d.log.String(), `"request":"`+id+`"`) }
	}
	d.store.SetFault(func(path, _ string) operators.Fault {
		if path == "/-/rows-tx" {
			return operators.Hang
		}
		return operators.Healthy
	})
	commits := func() int { return d.store.CommitCount("program-turns") }
	earlier := commits()
	d.sendAndCancel("at-the-store", func() bool { return commits() > earlier })
	d.eventually("ended", ended("at-the-store"))
	d.store.SetFault(nil)

	release := make(chan struct{})
	arrived := make(chan struct{}, 100)
	d.handleAll("m", func(_ http.ResponseWriter, request *http.Request) bool {
		arrived <- struct{}{}
		select {
		case <-release:
		case <-request.Context().Done():
		}
		return false
	})
	var full sync.WaitGroup
	for i := range 24 { // two engines with 12 slots
		full.Go(func() { d.turn("/resumed/", fmt.Sprintf("q%d", i), fmt.Sprintf("u%d", i), "", "x") })
	}
	for range 24 {
		<-arrived
	}
	// Nothing marks the turn as waiting directly: it waits from the moment at which its
	// program's account is written.
	accounts := func() int { return len(d.store.Rows("program-turns")) }
	before := accounts()
	d.sendAndCancel("at-the-engines", func() bool { return accounts() > before })
	d.eventually("ended", ended("at-the-engines"))
	close(release)
	full.Wait()
	if got := d.turn("/kept/", "last", "last", "", "x"); got.status != http.StatusOK {
		t.Fatalf("got %+v", got)
	}
	for _, request := range d.requestsAt("m") {
		if id := request.Header.Get("X-Request-Id"); strings.HasPrefix(id, "at-the-") {
			t.Errorf("turn %s reached an engine after its client had disconnected", id)
		}
	}
}

// TestAReadyProcessAcceptsConnections holds many requests at unresponsive engines. The process stays ready, and serves
// clients that open new connections.
func TestAReadyProcessAcceptsConnections(t *testing.T) {
	d := serve(t)
	release := make(chan struct{})
	arrived := make(chan struct{}, 400)
	d.handleAll("p", func(_ http.ResponseWriter, request *http.Request) bool {
		arrived <- struct{}{}
		select {
		case <-release:
		case <-request.Context().Done():
		}
		return false
	})
	var held sync.WaitGroup
	for i := range 20 {
		held.Go(func() {
			d.send(http.MethodPost, "/unsafe/x", "x", "X-Request-Id", fmt.Sprintf("r%d", i), "X-Deadline-Ms", "4000")
		})
	}
	for range 20 {
		<-arrived
	}
	for i := range 20 {
		if got := d.turn("/kept/", fmt.Sprintf("p%d", i), fmt.Sprintf("t%d", i), "", "x"); got.status != http.StatusOK {
			t.Fatalf("got %+v", got)
		}
	}
	answer, err := (&http.Client{Timeout: 10 * time.Second}).Get("http://" + d.ready + "/-/ready")
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Errorf("the readiness check got %v, %v", answer, err)
	}
	if err == nil {
		_ = answer.Body.Close()
	}
	close(release)
	held.Wait()
}
