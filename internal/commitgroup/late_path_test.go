package commitgroup

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// Durations of writes to one part whose callers leave.
const (
	callerWait  = 1880 * time.Millisecond
	writesFor   = 3 * time.Second
	writesEvery = 50 * time.Millisecond
)

// isRead reports whether a latency is that of a read.
func isRead(transaction tablestore.Transaction) bool { return len(transaction.Writes) == 0 }

// commitInTime commits a transaction of one part at a regular interval, whose callers leave after callerWait, and returns
// how many of them got no response in time.
func commitInTime(t *testing.T, group *Group) (late int) {
	var mutex sync.Mutex
	var callers sync.WaitGroup
	for i := range int(writesFor / writesEvery) {
		callers.Go(func() {
			time.Sleep(time.Duration(i) * writesEvery) // virtual
			ctx, cancel := context.WithTimeout(t.Context(), callerWait)
			defer cancel()
			if _, err := group.Commit(ctx, row(0, fmt.Sprint(i), 0)); err != nil {
				mutex.Lock()
				defer mutex.Unlock()
				late++
			}
		})
	}
	callers.Wait()
	time.Sleep(commitTimeout) // virtual: no call is in flight
	return late
}

// TestWriteBehindALateGroupIsAnsweredInItsCallersTime: all responses, to reads as well, are late on their way. A write
// that waits for the response to one of its part before it must be sent early enough for its caller, once, and the part
// gets no more groups than one of a slow service takes.
func TestWriteBehindALateGroupIsAnsweredInItsCallersTime(t *testing.T) {
	for _, late := range []time.Duration{900 * time.Millisecond, 1200 * time.Millisecond, 1600 * time.Millisecond} {
		t.Run(late.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := newLateService(lateBy(late))
				group := NewGroup(service, true, nil)
				if failed := commitInTime(t, group); failed > 0 {
					t.Errorf("%d writes got no response within %s", failed, callerWait)
				}
				service.checkSentOnce(t)
				const maxGroups = maxInFlightPerPart + uint64(writesFor/lateGroupInterval)
				if groups := group.Stats().Groups; groups > maxGroups {
					t.Errorf("%d groups of a part in %s, want at most %d", groups, writesFor, maxGroups)
				}
				if reads, limit := service.reads, int(writesFor+late)/int(pathReadInterval); reads > limit {
					t.Errorf("%d reads, want at most %d", reads, limit)
				}
			})
		})
	}
}

// TestSlowPartWhoseReadsAreAnsweredGetsTwoGroupsAtATime: a part takes long for its writes, and reads are answered as by a
// slow service, or as late as one that is also late on its way. More groups would only wait at the part.
func TestSlowPartWhoseReadsAreAnsweredGetsTwoGroupsAtATime(t *testing.T) {
	const write = 900 * time.Millisecond
	for _, read := range []time.Duration{4 * time.Millisecond, 230 * time.Millisecond, 400 * time.Millisecond} {
		t.Run(read.String(), func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				service := newLateService(func(transaction tablestore.Transaction) time.Duration {
					if isRead(transaction) {
						return read
					}
					return write
				})
				group := NewGroup(service, true, nil)
				commitInTime(t, group)
				const maxGroups = 1 + maxInFlightPerPart*(uint64(writesFor/write)+2)
				if groups := group.Stats().Groups; groups > maxGroups {
					t.Errorf("%d groups of a part in %s, want at most %d", groups, writesFor, maxGroups)
				}
				service.checkSentOnce(t)
			})
		})
	}
}

// TestFastServiceIsNotReadByItsWriters: a service whose responses are as usual gets no reads from its writers.
func TestFastServiceIsNotReadByItsWriters(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		service := newLateService(lateBy(8 * time.Millisecond))
		if failed := commitInTime(t, NewGroup(service, true, nil)); failed > 0 || service.reads > 0 {
			t.Errorf("%d writes failed, %d reads", failed, service.reads)
		}
	})
}

// TestLatenessIsThatOfReads checks what answered and unanswered reads show, and for how long.
func TestLatenessIsThatOfReads(t *testing.T) {
	start := time.Now()
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	var path latePath
	check := func(milliseconds int, want time.Duration) {
		t.Helper()
		if late := path.lateness(at(milliseconds)); late != want*time.Millisecond {
			t.Errorf("at %d ms: late by %s, want %d ms", milliseconds, late, want)
		}
	}
	check(0, 0)
	first := path.recordSent(at(0))
	second := path.recordSent(at(100))
	check(200, 200)
	path.recordEnd(second, true, at(300))
	check(300, 300)
	path.recordEnd(first, true, at(450)) // later than the response to a newer read
	check(450, 200)
	if !path.hasOvertaken(at(80)) || path.hasOvertaken(at(95)) {
		t.Error("only a group that was sent before the newest answered read has been overtaken")
	}
	failed := path.recordSent(at(500))
	path.recordEnd(failed, false, at(700))
	check(700, 200)
	check(300+int(pathReadTTL.Milliseconds()), 0)
}

// TestWriteIsSentInTimeBehindAQueueThatHasGrownSince: a queue on the path grows by a second a second from when the newest
// answered read was sent, and nothing is answered since. Whenever it is asked when a write is to be sent at the latest, its
// response must arrive by the deadline, unless the write is sent at once.
func TestWriteIsSentInTimeBehindAQueueThatHasGrownSince(t *testing.T) {
	start := time.Now()
	for took := lateRead; took <= callerWait; took += 50 * time.Millisecond {
		var path latePath
		path.recordEnd(path.recordSent(start), true, start.Add(took))
		for since := time.Duration(0); since < pathReadTTL; since += 20 * time.Millisecond {
			now := start.Add(took + since)
			deadline := now.Add(callerWait)
			sentAt := path.sendBy(deadline, now)
			if sentAt.Before(now) {
				sentAt = now
			}
			response := sentAt.Add(took + sentAt.Sub(start))
			if sentAt.After(now) && response.After(deadline) {
				t.Errorf("a read took %s and was answered %s ago: sent in %s, a write is answered %s too late", took, since, sentAt.Sub(now), response.Sub(deadline))
			}
		}
	}
}
