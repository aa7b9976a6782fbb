package serving_test

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// lateReportDelay is how late a report of ended engines is: longer than the send to an engine and the answer to a client wait for it.
const lateReportDelay = 2 * time.Second

// TestTryBeforeALateReportEndsNoFourthEngine has a third engine end under a request at one process, whose reports to the other one are
// late. The client's next try reaches that one before they do. It knows two ends, asks the first process before it sends the try to
// another engine, and refuses it then.
func TestTryBeforeALateReportEndsNoFourthEngine(t *testing.T) {
	for name, path := range map[string]string{"one body": "/plain1/", "stream": "/stream1/"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var request, reply atomic.Int64
			request.Store(int64(lateLinkDelay))
			first, second, ended := serveFatalBehindLateLink(t, 8, &request, &reply)
			for number := range maxEnginesEnded {
				if number == maxEnginesEnded-1 {
					request.Store(int64(lateReportDelay))
				}
				first.try(path, fmt.Sprint("try-", number), fatalBody)
			}
			if count := ended.count(); count != maxEnginesEnded {
				t.Fatalf("%d engines ended under as many tries at the first process, want %d", count, maxEnginesEnded)
			}
			expectStopped(t, second.try(path, "next", fatalBody))
			if count := ended.count(); count != maxEnginesEnded {
				t.Errorf("%d engines ended under one request, want %d; logs:\n%s\n%s", count, maxEnginesEnded, first.log, second.log)
			}
		})
	}
}
