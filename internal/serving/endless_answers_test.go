package serving_test

import (
	"fmt"
	"io"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/standin/operators"
)

// Bounds of the tests.
const (
	// endlessBound is the most that an engine may get rid of for one answer: the largest limit of an answer, and what the
	// two ends of a connection hold in their buffers.
	endlessBound = 32 << 20
	// memoryLimit is the smallest memory limit of a process on the operators' platform.
	memoryLimit = 112 << 20
	// answersAtOnce is how many answers without an end a process gets at once.
	answersAtOnce = 64
)

// answerEndlessly returns a handler that answers in a form. sent gets the bytes that each answer sent.
func answerEndlessly(form operators.EndlessForm, sent func(bytes int)) func(http.ResponseWriter, *http.Request) bool {
	return func(writer http.ResponseWriter, request *http.Request) bool {
		count, answered := operators.AnswerEndlessly(form, "seal", 4*endlessBound, writer, request)
		sent(count)
		return answered
	}
}

// sendTo sends one request that fits a route of the standard configuration.
func sendTo(d *deployment, route, id string) answer {
	path := "/" + route + "/1"
	if route == "safe" || route == "unsafe" {
		return d.send(http.MethodGet, path, "", "X-Request-Id", id, "X-Deadline-Ms", "4000")
	}
	return d.turn(path, "program-"+id, id, "", "hello")
}

// discardAnswer sends one request like sendTo, and keeps nothing of its answer.
func discardAnswer(d *deployment, route, id string) {
	request, err := http.NewRequest(http.MethodGet, "http://"+d.address+"/"+route+"/1", nil)
	if err != nil {
		d.t.Error(err)
		return
	}
	request.Host = "site.example"
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", "4000")
	if route == "kept" {
		request.Header.Set("X-Program-Id", "program-"+id)
		request.Header.Set("X-Token-Usage", "100,288")
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // the answer was cut off before its head
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body) // it is cut off
}

// TestAnswersWithoutEndAreAborted guards against reading an engine's bytes without a limit. Each place of an answer goes on
// without an end, on each kind of route. The process closes the connection, the log says which limit was exceeded at which
// engine, and the client gets no answer that looks complete, and none that says that the request has not run.
func TestAnswersWithoutEndAreAborted(t *testing.T) {
	for _, route := range []string{"kept", "resumed", "safe", "unsafe"} {
		for _, form := range operators.EndlessForms {
			t.Run(route+"/"+form.Name, func(t *testing.T) {
				d := serve(t)
				var most atomic.Int64
				d.handleAll("", answerEndlessly(form, func(bytes int) { most.Store(max(most.Load(), int64(bytes))) }))
				got := sendTo(d, route, "request-1")
				if got.status == http.StatusOK && !got.cut {
					t.Errorf("the answer looks complete: %d bytes", len(got.body))
				}
				if got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests {
					t.Errorf("got %d, which says that the request has not run", got.status)
				}
				if len(got.body) > endlessBound {
					t.Errorf("the client got %d bytes", len(got.body))
				}
				d.eventually("aborted at the engine", func() bool { return most.Load() > 0 })
				if most.Load() > endlessBound {
					t.Errorf("an engine sent %d bytes before its connection was closed", most.Load())
				}
				d.eventually("logged with the reason", func() bool { return logsReason(d.log.String(), "request-1") })
			})
		}
	}
}

// logsReason reports whether the log has the end of a request, with what was wrong with an engine's answer.
func logsReason(log, id string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"request":"`+id+`"`) && strings.Contains(line, `"detail":`) {
			return true
		}
	}
	return false
}

// TestManyAnswersWithoutEndFitIntoMemory has 64 requests at once answered in each form, and watches the heap.
func TestManyAnswersWithoutEndFitIntoMemory(t *testing.T) {
	for _, route := range []string{"kept", "unsafe"} {
		t.Run(route, func(t *testing.T) {
			d := serve(t)
			for number, form := range operators.EndlessForms {
				d.handleAll("", answerEndlessly(form, func(int) {}))
				var requests sync.WaitGroup
				ended := make(chan struct{})
				for request := range answersAtOnce {
					requests.Go(func() { discardAnswer(d, route, fmt.Sprintf("%s-%d-%d", route, number, request)) })
				}
				go func() {
					requests.Wait()
					close(ended)
				}()
				if peak := peakHeap(ended); peak > memoryLimit {
					t.Errorf("%s: %d MB of heap with %d answers at once, want %d at most", form.Name, peak>>20, answersAtOnce, memoryLimit>>20)
				}
			}
		})
	}
}

// TestManyUnfinishedAnswersFitIntoMemory has 64 answers at once stop just below a limit, and stay so: the process waits for
// the rest of each.
func TestManyUnfinishedAnswersFitIntoMemory(t *testing.T) {
	for _, test := range []struct {
		name, route, head, repeated string
		bytes                       int
	}{
		{"header", "kept", "HTTP/1.1 200 OK\r\nX: ", "x", 30 << 10},
		{"event", "kept", operators.EndlessStreamHead + "\r\ndata: ", "x", 254 << 10},
		{"event of many lines", "kept", operators.EndlessStreamHead + "\r\n", "data: x\n", 254 << 10},
		{"body", "unsafe", operators.EndlessStreamHead + "\r\n", "x", 255 << 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := prepare(t)
			for number := range answersAtOnce / 4 { // an engine works on twelve requests at a time, and may get fewer
				d.addEngine(fmt.Sprintf("m-more-%d", number), "models")
				d.addEngine(fmt.Sprintf("p-more-%d", number), "portal")
			}
			d.store.Put("op", "", "config", standard())
			d.run("node-1", "")
			d.eventually("ready", d.process.Ready)
			var holding sync.WaitGroup
			holding.Add(answersAtOnce)
			release := make(chan struct{})
			d.handleAll("", func(writer http.ResponseWriter, request *http.Request) bool {
				connection, _, err := http.NewResponseController(writer).Hijack()
				if err != nil {
					return false
				}
				defer connection.Close()
				head := strings.ReplaceAll(test.head, "REQUEST", request.Header.Get("X-Request-Id"))
				_, _ = io.WriteString(connection, head+strings.Repeat(test.repeated, test.bytes/len(test.repeated)))
				holding.Done()
				<-release
				return true
			})
			var requests sync.WaitGroup
			for request := range answersAtOnce {
				requests.Go(func() { discardAnswer(d, test.route, fmt.Sprintf("held-%d", request)) })
			}
			held := make(chan struct{})
			go func() {
				holding.Wait()
				close(held)
			}()
			peak := peakHeap(held)
			close(release)
			requests.Wait()
			if peak > memoryLimit {
				t.Errorf("%d MB of heap with %d answers at once, want %d at most", peak>>20, answersAtOnce, memoryLimit>>20)
			}
		})
	}
}

// peakHeap returns the largest heap until a channel is closed.
func peakHeap(ended <-chan struct{}) uint64 {
	var peak uint64
	ticker := time.NewTicker(10 * time.Millisecond)
	defer ticker.Stop()
	for {
		var stats runtime.MemStats
		runtime.ReadMemStats(&stats)
		peak = max(peak, stats.HeapInuse)
		select {
		case <-ended:
			return peak
		case <-ticker.C:
		}
	}
}
