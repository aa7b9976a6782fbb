package main

import (
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

// Turns of the case of a planned stop.
const (
	shortTurns  = 24
	connections = 10
	longEvents  = 32 // of a long turn; their tokens are the most that its request states
	longMark    = "long"
	longPause   = 118 * time.Millisecond // between events
	gracePeriod = 8 * time.Second        // grace_s of the settings
	stopExcuse  = 3 * time.Second        // after a SIGTERM, turns sent no later may be cut while their engines still work
	longestTurn = 4 * time.Second        // timeout_ms of the routes, and the clients' deadline
)

// plannedStop stops a process by SIGTERM while clients keep connections to it, on each of which a turn with a long answer is under way. Once
// that has ended, they send another one on the same connection.
func plannedStop(w *world, trouble bool) (int, error) {
	if err := fleet(w); err != nil {
		return notPlayed, err
	}
	w.configure(keptRoute("talk", "/talk/", "llm"), keptRoute("file", "/file/", "llm"))
	time.Sleep(2 * time.Second)
	for _, e := range w.engines {
		e.handle = func(writer http.ResponseWriter, request *http.Request, body []byte) bool {
			if !strings.HasPrefix(string(body), longMark) {
				return false
			}
			e.stream(writer, request, longEvents, longPause)
			return true
		}
	}
	stopped := w.nodes[0]
	c := newClient(w)
	for range shortTurns {
		c.do(stopped, turn("/talk/1", newID(), "", "short", longEvents*9, 5000))
	}
	stopAt := time.Now().Add(time.Second)
	go func() {
		time.Sleep(time.Until(stopAt))
		if trouble {
			stopped.signal(syscall.SIGTERM)
			w.logf("sigterm to %s", stopped.name)
		}
	}()
	var cut, whole, refused atomic.Int64
	w.together(connections, func(number int) {
		own := newClient(w)
		time.Sleep(time.Until(stopAt.Add(-350*time.Millisecond + time.Duration(number)*20*time.Millisecond)))
		if first := own.do(stopped, turn("/file/1", newID(), "", longMark, longEvents*9, 5000)); !first.whole || first.header.Get("Connection") == "close" {
			w.logf("unused  %s", first.id)
			return
		}
		time.Sleep(150 * time.Millisecond) // the client's pause
		got := own.do(stopped, turn("/talk/1", newID(), "", longMark, longEvents*9, 5000))
		sentAfter, tookFor := got.sentAt.Sub(stopAt), got.endedAt.Sub(got.sentAt)
		switch {
		case got.whole && got.status == 200:
			whole.Add(1)
		case got.whole:
			refused.Add(1)
		case len(w.runsOf(got.id)) > 0 && sentAfter > stopExcuse && sentAfter+tookFor < gracePeriod+time.Second && tookFor < longestTurn:
			cut.Add(1)
			w.logf("broken  %s sent %.3f s after the SIGTERM, cut off after %.3f s, at %.3f s", got.id, sentAfter.Seconds(), tookFor.Seconds(), (sentAfter + tookFor).Seconds())
		}
	})
	w.logf("count   cut off %d, whole %d, refused %d", cut.Load(), whole.Load(), refused.Load())
	if cut.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
