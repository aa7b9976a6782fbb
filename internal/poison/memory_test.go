package poison

import (
	"context"
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/pewtermill/pewtermill/internal/virtualtime"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// start is the time from which tests count.
var start = time.Unix(1_000_000, 0)

// at returns a time in ms after start.
func at(millis int) time.Time { return start.Add(time.Duration(millis) * time.Millisecond) }

// endOf returns the end of an engine under a try that was sent and ended at these times, in ms.
func endOf(engine, try string, sent, ended int) End {
	return End{Engine: engine, Try: try, SentAt: at(sent), EndedAt: at(ended)}
}

// record records an end.
func record(m *Memory, key Key, end End) bool {
	return m.BeginCheck(key, end.Engine, end.EndedAt).Finish(end)
}

// TestEnginesCountOneAfterAnother guards against refusing requests that were not at fault: engines that are lost at the same
// time count once, whatever number of clients asked for the same thing there.
func TestEnginesCountOneAfterAnother(t *testing.T) {
	for name, test := range map[string]struct {
		ends []End
		want int
	}{
		"none":                        {nil, 0},
		"one after another":           {[]End{endOf("a", "1", 0, 10), endOf("b", "2", 20, 30), endOf("c", "3", 40, 50)}, 3},
		"the same, out of order":      {[]End{endOf("c", "3", 40, 50), endOf("a", "1", 0, 10), endOf("b", "2", 20, 30)}, 3},
		"sent when the last one ends": {[]End{endOf("a", "1", 0, 10), endOf("b", "2", 10, 20)}, 2},
		"within one try":              {[]End{endOf("a", "1", 0, 10), endOf("b", "1", 12, 20), endOf("c", "1", 22, 30)}, 3},
		"hedged within one try":       {[]End{endOf("a", "1", 0, 20), endOf("b", "1", 10, 20)}, 2},
		"fifteen lost at once":        {lostAtOnce(15), 1},
		"lost at once, and two later": {append(lostAtOnce(15), endOf("x", "x", 200, 210), endOf("y", "y", 220, 230)), 3},
		"an engine counts once":       {[]End{endOf("a", "1", 0, 10), endOf("a", "2", 20, 30), endOf("a", "3", 40, 50)}, 1},
		"the try with most engines":   {[]End{endOf("a", "1", 0, 50), endOf("b", "2", 0, 10), endOf("c", "2", 20, 50)}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			memory, key := NewMemory(), KeyOf([]byte("x"))
			for _, end := range test.ends {
				record(memory, key, end)
			}
			if got := memory.StandingOf(key, at(300)).Ended; got != test.want {
				t.Errorf("%d engines count, want %d", got, test.want)
			}
		})
	}
}

// lostAtOnce returns the ends of engines that are lost at the same time, each with another client's request.
func lostAtOnce(count int) []End {
	var ends []End
	for i := range count {
		ends = append(ends, endOf(fmt.Sprint("e", i), fmt.Sprint("t", i), 5*i, 100))
	}
	return ends
}

// TestAnsweredRequestIsCleared has an engine answer a request under which others ended.
func TestAnsweredRequestIsCleared(t *testing.T) {
	memory, key := NewMemory(), KeyOf([]byte("x"))
	record(memory, key, endOf("a", "1", 0, 10))
	record(memory, key, endOf("b", "2", 20, 30))
	if !memory.Share(key) || memory.Share(key) {
		t.Error("the ends are not selected for a report once")
	}
	pending := memory.BeginCheck(key, "c", at(35))
	if !memory.Answered(key, at(50)) {
		t.Error("the answer cleared nothing that other nodes have")
	}
	late := endOf("c", "3", 32, 35)
	if pending.Finish(late) {
		t.Error("an end counts although the request was answered after it was sent")
	}
	if got := memory.StandingOf(key, at(60)).Ended; got != 0 {
		t.Errorf("%d engines count after an answer, want 0", got)
	}
	record(memory, key, endOf("d", "4", 60, 70))
	if got := memory.StandingOf(key, at(80)); got.Ended != 1 || !reflect.DeepEqual(got.Engines, []string{"d"}) {
		t.Errorf("got %+v, want the engine that ended after the answer", got)
	}
}

// TestPresumedEndIsWithdrawn presumes that an engine ended that has not.
func TestPresumedEndIsWithdrawn(t *testing.T) {
	memory, key := NewMemory(), KeyOf([]byte("x"))
	for name, end := range map[string]*End{"has not ended": nil, "has ended": {Engine: "a", SentAt: at(0), EndedAt: at(0)}} {
		check := memory.BeginCheck(key, "a", at(10))
		check.Presume(endOf("a", "1", 0, 0))
		if got := memory.StandingOf(key, at(10)).Ended; got != 1 {
			t.Errorf("%s: %d engines count during the check, want 1", name, got)
		}
		want := 0
		if end == nil {
			check.Withdraw()
		} else {
			check.Finish(*end)
			want = 1
		}
		if got := memory.StandingOf(key, at(20)).Ended; got != want {
			t.Errorf("%s: %d engines count after the check, want %d", name, got, want)
		}
		memory = NewMemory()
	}
	check := memory.BeginCheck(key, "a", at(10))
	check.Presume(endOf("a", "1", 0, 0))
	check.Withdraw()
	record(memory, key, endOf("a", "2", 20, 30))
	if got := memory.StandingOf(key, at(40)).Ended; got != 1 {
		t.Errorf("%d engines count after the engine ended under a later try, want 1", got)
	}
}

// TestStandingWaitsForDecidingChecks has a request wait for checks in progress only if they decide whether it is sent.
func TestStandingWaitsForDecidingChecks(t *testing.T) {
	virtualtime.Test(t, func(t *testing.T) {
		memory, key := NewMemory(), KeyOf([]byte("x"))
		now := time.Now()
		first := memory.BeginCheck(key, "a", now)
		memory.BeginCheck(key, "b", now)
		memory.BeginCheck(key, "b", now) // of another request for the same; one engine ends once
		if got := memory.AwaitStanding(t.Context(), key, MaxEngines); got.Checks != 2 || time.Since(now) > 0 {
			t.Errorf("got %+v after %s, want two checks at once", got, time.Since(now))
		}
		third := memory.BeginCheck(key, "c", now)
		go func() {
			time.Sleep(100 * time.Millisecond)
			first.Withdraw()
			third.Withdraw()
		}()
		if got := memory.AwaitStanding(t.Context(), key, MaxEngines); got.Checks != 1 && got.Checks != 2 || time.Since(now) != 100*time.Millisecond {
			t.Errorf("got %+v after %s, want it after the first check that decides", got, time.Since(now))
		}
		memory.BeginCheck(key, "d", now)
		memory.BeginCheck(key, "e", now)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if got := memory.AwaitStanding(ctx, key, MaxEngines); got.Checks < 3 || ctx.Err() == nil {
			t.Errorf("got %+v before the caller's deadline", got)
		}
	})
}

// TestKeysOfDifferentRequestsDiffer computes the keys of requests that differ in one field, or by where a field ends.
func TestKeysOfDifferentRequestsDiffer(t *testing.T) {
	keys := map[Key]bool{
		KeyOf([]byte("x"), "tenant", "POST"): true, KeyOf([]byte("x"), "tenan", "tPOST"): true, KeyOf([]byte("x"), "other", "POST"): true,
		KeyOf([]byte("y"), "tenant", "POST"): true, KeyOf(nil, "tenant", "POST", "x"): true, KeyOf([]byte("x")): true,
	}
	if len(keys) != 6 || !keys[KeyOf([]byte("x"), "tenant", "POST")] {
		t.Errorf("%d keys of 6 requests", len(keys))
	}
}

// TestMemoryIsBounded records more requests than a memory holds. Those with the most engines are kept, and all expire.
func TestMemoryIsBounded(t *testing.T) {
	memory := NewMemory()
	kept := KeyOf([]byte("kept"))
	for i := range MaxEngines {
		record(memory, kept, endOf(fmt.Sprint(i), fmt.Sprint(i), 10*i, 10*i+5))
	}
	for i := range maxRequests + 10 {
		record(memory, KeyOf([]byte(fmt.Sprint(i))), endOf("a", "1", i, i+1))
	}
	count, stopped, dropped := memory.Len(at(maxRequests + 20))
	if count != maxRequests || stopped != 1 || dropped != 11 {
		t.Errorf("%d requests recorded, %d stopped, %d dropped; want %d, 1, 11", count, stopped, dropped, maxRequests)
	}
	if got := memory.StandingOf(kept, at(100)).Ended; got != MaxEngines {
		t.Errorf("%d engines count of the request with the most, want %d", got, MaxEngines)
	}
	if count, _, _ := memory.Len(at(2 * maxRequests).Add(retention)); count != 0 || !memory.Empty() {
		t.Errorf("%d requests recorded after they expired", count)
	}
}

// TestMemoriesConverge has three nodes record ends and answers, and report to each other in any order and more than once. They
// agree in the end on how many engines count.
func TestMemoriesConverge(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(8086)
	properties := gopter.NewProperties(parameters)
	properties.Property("all nodes agree once each has everything", prop.ForAll(func(seed uint64) bool {
		random := rand.New(rand.NewPCG(seed, 1))
		memories := []*Memory{NewMemory(), NewMemory(), NewMemory()}
		keys := []Key{KeyOf([]byte("a")), KeyOf([]byte("b"))}
		now := 0
		for range 24 {
			now += 10
			node, key := memories[random.IntN(3)], keys[random.IntN(2)]
			switch random.IntN(4) {
			case 0:
				node.Answered(key, at(now))
			case 1:
				merge(memories[random.IntN(3)], node, now)
			default:
				number := random.IntN(6)
				record(node, key, endOf(fmt.Sprint("e", number), fmt.Sprint("t", number), 20*number, 20*number+random.IntN(40)))
			}
		}
		for range 2 {
			for _, i := range random.Perm(9) {
				merge(memories[i/3], memories[i%3], now)
			}
		}
		for _, key := range keys {
			for _, memory := range memories[1:] {
				if len(memory.StandingOf(key, at(now)).Engines) != len(memories[0].StandingOf(key, at(now)).Engines) {
					return false
				}
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// merge gives one node all that another has recorded.
func merge(to, from *Memory, now int) {
	if to != from {
		to.merge(from.all(maxRequests, at(now)), at(now))
	}
}

// TestMalformedEndsAreIgnored has a peer send ends without a key or an engine, or with impossible ages.
func TestMalformedEndsAreIgnored(t *testing.T) {
	memory, key := NewMemory(), KeyOf([]byte("x"))
	memory.merge([]*wirepb.RequestEnds{
		{Ends: []*wirepb.EngineEnd{{Engine: "a"}}},
		{Key: []byte("short"), Ends: []*wirepb.EngineEnd{{Engine: "a"}}},
		{Key: key[:], Ends: []*wirepb.EngineEnd{{Try: "1"}}},
	}, start)
	if !memory.Empty() {
		t.Error("a malformed end was recorded")
	}
	memory.merge([]*wirepb.RequestEnds{{Key: key[:], Ends: []*wirepb.EngineEnd{{Engine: "a", SentMillisAgo: -5, EndedMillisAgo: 1 << 60}}}}, start)
	if got := memory.StandingOf(key, start).Ended; got != 1 {
		t.Errorf("%d engines count, want 1", got)
	}
}

// TestRequestsWithOneEndLeftShareNoEngine guards against stopping a request that only ran beside the one at fault: requests that
// the next end would stop are sent to different engines, at every node. Others are not restricted.
func TestRequestsWithOneEndLeftShareNoEngine(t *testing.T) {
	memory, other := NewMemory(), NewMemory()
	engines := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j"}
	var keys []Key
	for i := range 3 {
		key := KeyOf([]byte(fmt.Sprint(i)))
		keys = append(keys, key)
		record(memory, key, endOf("x", fmt.Sprint(i), 0, 10))
		if got := memory.Isolate(key, engines, at(20)); got != nil {
			t.Errorf("a request under which one engine ended is kept from %v", got)
		}
	}
	for i, key := range keys {
		record(memory, key, endOf("y", fmt.Sprint(i, "again"), 20, 30))
	}
	merge(other, memory, 40)
	allowed := make(map[string]int)
	for i, key := range keys {
		excluded := []*Memory{memory, other, memory}[i].Isolate(key, engines, at(40))
		for _, engine := range engines {
			if !slices.Contains(excluded, engine) {
				allowed[engine]++
			}
		}
	}
	for _, engine := range engines {
		if allowed[engine] != 1 {
			t.Errorf("engine %s may get %d of the requests, want 1", engine, allowed[engine])
		}
	}
	for _, key := range keys {
		if got := memory.Isolate(key, []string{"a", "x", "y"}, at(40)); len(got) > 0 {
			t.Errorf("a request is kept from %v, the only engine that has not ended", got)
		}
		if got := memory.Isolate(key, engines[:3], at(40)); len(got) != 2 {
			t.Errorf("a request is kept from %v, want two of three engines for three requests", got)
		}
	}
	if got := memory.Isolate(keys[0], engines, at(40).Add(isolationPeriod)); got != nil {
		t.Errorf("kept from %v long after the ends", got)
	}
}
