package serving_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
)

// TestEngineThatWasNeverSentTheRequestDoesNotCount guards against refusing a request as if it had ended three engines, where two ended
// under it and the deadline of a further try passes before that try is sent: the engine that it was placed at fell silent earlier.
func TestEngineThatWasNeverSentTheRequestDoesNotCount(t *testing.T) {
	const (
		engines        = 8
		maxTries       = 20 // until the deadline of one passes while it connects
		deadlineMillis = "150"
	)
	first, _, ended := serveFatal(t, engines, ending{})
	first.try("/plain2/", "fatal", fatalBody)
	if count := ended.count(); count != maxEnginesEnded-1 {
		t.Fatalf("%d engines ended, want %d", count, maxEnginesEnded-1)
	}
	for id, engine := range first.engines {
		if strings.HasPrefix(id, "f") && !ended.includes(id) {
			if err := engine.FallSilent(); err != nil {
				t.Fatal(err)
			}
		}
	}
	expired := func() bool { return strings.Contains(first.log.String(), `"outcome":"cancelled"`) }
	for number := 0; number < maxTries && !expired(); number++ {
		first.send(http.MethodPost, "/plain2/", fatalBody, "X-Request-Id", fmt.Sprint("expired-", number), "X-Deadline-Ms", deadlineMillis)
	}
	if !expired() {
		t.Fatalf("no deadline passed while a try was connecting; log:\n%s", first.log)
	}
	if got := first.try("/plain2/", "last", fatalBody); strings.Contains(got.body, `"code":316`) {
		t.Errorf("got %q after %d engines ended; log:\n%s", got.body, ended.count(), first.log)
	}
}
