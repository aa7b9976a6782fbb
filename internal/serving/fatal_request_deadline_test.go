package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestEngineThatEndsAfterItsTryWasGivenUpCounts guards against losing a fourth engine to a request: an engine has ended under it, and
// its deadline passes soon after it was sent to another one, which is alive then and ends later.
func TestEngineThatEndsAfterItsTryWasGivenUpCounts(t *testing.T) {
	const (
		engines          = 12
		maxTries         = 40 // until three engines have ended: a try that its process begins late reaches none
		furtherTries     = 4
		deadlineMillis   = "150"
		endsAfterGivenUp = 50 * time.Millisecond
	)
	for name, silent := range map[string]bool{"refuses connections": false, "falls silent": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			first, second, ended := serveFatal(t, engines, ending{})
			for id, engine := range first.engines {
				if !strings.HasPrefix(id, "f") {
					continue
				}
				engine.SetHandler(func(_ http.ResponseWriter, request *http.Request) bool {
					ended.record(fatalBody, id)
					if ended.count() > 1 {
						<-request.Context().Done()
						<-time.After(endsAfterGivenUp)
					}
					if silent && ended.count() > 1 {
						if err := engine.FallSilent(); err != nil {
							t.Error(err)
						}
					} else {
						engine.End()
					}
					panic(http.ErrAbortHandler)
				})
			}
			try := func(number int) {
				d := []*deployment{first, second}[number%2]
				d.send(http.MethodPost, "/stream2/", fatalBody, "X-Request-Id", fmt.Sprint("try-", number), "X-Token-Usage", "100,288", "X-Deadline-Ms", deadlineMillis)
			}
			for number := 0; number < maxTries && ended.count() < maxEnginesEnded; number++ {
				try(number)
			}
			for number := range furtherTries {
				try(maxTries + number)
			}
			if count := ended.count(); count != maxEnginesEnded {
				t.Errorf("%d engines ended under one request, want %d; logs:\n%s\n%s", count, maxEnginesEnded, first.log, second.log)
			}
		})
	}
}
