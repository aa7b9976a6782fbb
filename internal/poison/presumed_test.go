package poison

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
)

// endTwo returns a memory in which two engines ended under each of a number of requests, at the same time, and the keys.
func endTwo(requests int) (*Memory, []Key) {
	memory := NewMemory()
	var keys []Key
	for i := range requests {
		key := KeyOf([]byte(fmt.Sprint(i)))
		keys = append(keys, key)
		record(memory, key, endOf("x", fmt.Sprint(i), 0, 10))
		record(memory, key, endOf("y", fmt.Sprint(i, "again"), 20, 30))
	}
	return memory, keys
}

// TestRequestKeepsItsEngineWhileItIsSentThere guards against sending a second request to an engine that a first one may end:
// the end of the first one's engine is presumed and shared before it is sent there. The engines stay divided as they were, at
// nodes that know of it and at those that don't.
func TestRequestKeepsItsEngineWhileItIsSentThere(t *testing.T) {
	memory, keys := endTwo(3)
	uninformed, informed := NewMemory(), NewMemory()
	merge(uninformed, memory, 40)
	engines := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	division := func(m *Memory) (all [][]string) {
		for _, key := range keys {
			all = append(all, m.Isolate(key, engines, at(50)))
		}
		return all
	}
	before := division(memory)
	excluded := make(map[string]bool)
	for _, engine := range before[0] {
		excluded[engine] = true
	}
	for _, engine := range engines {
		if excluded[engine] {
			continue
		}
		memory.BeginCheck(keys[0], engine, at(45)).Presume(endOf(engine, "last", 45, 45))
		merge(informed, memory, 50)
		for name, node := range map[string]*Memory{"own": memory, "informed": informed, "uninformed": uninformed} {
			if after := division(node); !reflect.DeepEqual(after, before) {
				t.Errorf("%s node: the requests are kept from %v, and from %v before engine %s was presumed to end", name, after, before, engine)
			}
		}
		if got := informed.StandingOf(keys[0], at(50)).Ended; got != MaxEngines {
			t.Errorf("%d engines count at a node that was informed, want %d", got, MaxEngines)
		}
		return
	}
	t.Fatal("no engine is left to the first request")
}

// TestEngineInUseIsLeftToItsRequest has a node that knew only one request send it to an engine that the division leaves to
// another. The other one gets its further engines, and that engine only if it has none.
func TestEngineInUseIsLeftToItsRequest(t *testing.T) {
	memory, keys := endTwo(2)
	engines := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	var left []string
	excluded := memory.Isolate(keys[1], engines, at(40))
	for _, engine := range engines {
		if !slices.Contains(excluded, engine) {
			left = append(left, engine)
		}
	}
	memory.BeginCheck(keys[0], left[0], at(45)).Presume(endOf(left[0], "last", 45, 45))
	if got := memory.Isolate(keys[1], engines, at(50)); !slices.Contains(got, left[0]) || len(got) != len(excluded)+1 {
		t.Errorf("kept from %v, want %v and %s, which the other request was sent to", got, excluded, left[0])
	}
	if got := memory.Isolate(keys[1], left[:1], at(50)); len(got) != 0 {
		t.Errorf("kept from %v, the only engine", got)
	}
}

// TestWithdrawnEndKeepsItsEngineInTheDivision guards against sending a second request to an engine that a first one may end: a third one
// had been sent there, and was rejected. The engine is divided among them as before.
func TestWithdrawnEndKeepsItsEngineInTheDivision(t *testing.T) {
	memory, keys := endTwo(3)
	engines := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	for _, engine := range engines {
		before := memory.Isolate(keys[0], engines, at(50))
		check := memory.BeginCheck(keys[2], engine, at(45))
		check.Presume(endOf(engine, "last", 45, 45))
		check.Withdraw()
		if after := memory.Isolate(keys[0], engines, at(50)); !reflect.DeepEqual(after, before) {
			t.Errorf("kept from %v after a withdrawn end of engine %s, want %v", after, engine, before)
		}
	}
}

// TestEngineThatTwoRequestsWereSentToIsLeftByBoth has two nodes send a request each to the same engine, before either knew of the other.
// Both requests have further engines.
func TestEngineThatTwoRequestsWereSentToIsLeftByBoth(t *testing.T) {
	const plays = 20 // the order of requests in memory differs
	engines := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
	for range plays {
		memory, keys := endTwo(2)
		for _, key := range keys {
			memory.BeginCheck(key, "a", at(45)).Presume(endOf("a", "last", 45, 45))
		}
		for number, key := range keys {
			if got := memory.Isolate(key, engines, at(50)); !slices.Contains(got, "a") {
				t.Fatalf("request %d is kept from %v, want also the engine that the other one was sent to", number, got)
			}
		}
	}
}

// TestPresumedEndDecidesOnceItIsChecked has a request wait for the check of an engine that is presumed to have ended, and not be
// stopped if the engine has not.
func TestPresumedEndDecidesOnceItIsChecked(t *testing.T) {
	for name, hasEnded := range map[string]bool{"has ended": true, "has not ended": false} {
		t.Run(name, func(t *testing.T) {
			virtualtime.Test(t, func(t *testing.T) {
				memory, key := NewMemory(), KeyOf([]byte("x"))
				sentAt := time.Now()
				record(memory, key, End{Engine: "x", Try: "1", SentAt: sentAt, EndedAt: sentAt})
				record(memory, key, End{Engine: "y", Try: "2", SentAt: sentAt, EndedAt: sentAt})
				end := End{Engine: "z", Try: "last", SentAt: sentAt, EndedAt: sentAt}
				check := memory.BeginCheck(key, end.Engine, sentAt)
				check.Presume(end)
				go func() {
					time.Sleep(100 * time.Millisecond)
					if end.EndedAt = time.Now(); hasEnded {
						check.Presume(end) // the time of the end is known now
						check.Finish(end)
					} else {
						check.Withdraw()
					}
				}()
				want := Standing{Ended: 2, Settled: 2, Engines: []string{"x", "y"}, LastEnd: sentAt}
				if hasEnded {
					want = Standing{Ended: 3, Settled: 3, Engines: []string{"x", "y", "z"}, LastEnd: sentAt.Add(100 * time.Millisecond)}
				}
				if got := memory.AwaitStanding(t.Context(), key, MaxEngines); !reflect.DeepEqual(got, want) || time.Since(sentAt) != 100*time.Millisecond {
					t.Errorf("got %+v after %s, want %+v after the check", got, time.Since(sentAt), want)
				}
			})
		})
	}
}

// TestPresumptionLeavesASettledEnd presumes once more that an engine ended of which that is settled, under a try that is sent
// again, and withdraws that. The settled end counts on.
func TestPresumptionLeavesASettledEnd(t *testing.T) {
	memory, key := NewMemory(), KeyOf([]byte("x"))
	record(memory, key, endOf("a", "1", 0, 10))
	check := memory.BeginCheck(key, "a", at(20))
	check.Presume(endOf("a", "1", 20, 20))
	check.Withdraw()
	if got := memory.StandingOf(key, at(30)).Ended; got != 1 {
		t.Errorf("%d engines count, want 1", got)
	}
}

// TestWithdrawnEndsEvictNoOther guards against forgetting engines that ended: a request at its last engine is offered to others
// again and again that are found not to have ended. Only so many ends are stored, and those that do not count are dropped first.
func TestWithdrawnEndsEvictNoOther(t *testing.T) {
	memory, keys := endTwo(1)
	for i := range 2 * maxEnds {
		engine := fmt.Sprint("z", i)
		check := memory.BeginCheck(keys[0], engine, at(40+i))
		check.Presume(endOf(engine, "last", 40+i, 40+i))
		if got := memory.StandingOf(keys[0], at(40+i)).Ended; got != MaxEngines {
			t.Fatalf("%d engines count while engine %d is presumed to end, want %d", got, i, MaxEngines)
		}
		check.Withdraw()
		if got := memory.StandingOf(keys[0], at(40+i)); got.Ended != 2 {
			t.Fatalf("%d engines count after %d withdrawn ends: %v, want 2", got.Ended, i+1, got.Engines)
		}
	}
}
