package soak

import (
	"encoding/json"
	"net"
	"testing"
	"time"
)

// TestJudgeCatchesWhatIsSentToStrangers tells of connections to where strangers' entries led.
func TestJudgeCatchesWhatIsSentToStrangers(t *testing.T) {
	for count, want := range map[int][]Promise{0: nil, 1: {Stranger}} {
		j := NewJudge(1)
		j.Strayed(time.Second, count, "GET /health")
		wantBroken(t, j, want...)
	}
}

// TestTrapSeesWhatComes connects to a trap, with and without a request.
func TestTrapSeesWhatComes(t *testing.T) {
	set, err := newTrap()
	if err != nil {
		t.Fatal(err)
	}
	defer set.listener.Close()
	for _, text := range []string{"", "GET / HTTP/1.1\r\n\r\n"} {
		caller, err := net.Dial("tcp4", set.listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		if _, err := caller.Write([]byte(text)); err != nil {
			t.Fatal(err)
		}
		caller.Close()
	}
	eventually(t, "both connections are seen, and what came", func() bool {
		count, first := set.seen()
		return count == 2 && first != ""
	})
}

// TestJudgeCatchesAServiceThatStops has no engine of a service but the one whose entry was
// overwritten get requests while strangers' entries are there.
func TestJudgeCatchesAServiceThatStops(t *testing.T) {
	const second = "models2-1"
	for served, want := range map[string][]Promise{second: nil, first: {ServesOn}} {
		j := NewJudge(1)
		j.EngineAdded(0, first, serviceModels, zones[0], 0)
		j.EngineAdded(0, second, serviceModels, zones[1], 0)
		j.EngineAdded(0, "portal1-1", servicePortal, zones[0], 0)
		arriveAt(j, 9*time.Second, second) // before
		before := j.Served()
		arriveAt(j, 11*time.Second, served)
		arriveAt(j, 11*time.Second, "portal1-1")
		j.StrangersOver(16*time.Second, 10*time.Second, first, before)
		wantBroken(t, j, want...)
	}
}

// TestJudgeHoldsAnOverwrittenEngineToTheBound sends to an engine whose entry is overwritten, and
// once it is its own again.
func TestJudgeHoldsAnOverwrittenEngineToTheBound(t *testing.T) {
	for back, want := range map[bool][]Promise{true: nil, false: {EngineLeft}} {
		j := NewJudge(1)
		j.EngineAdded(0, first, serviceModels, zones[0], 0)
		j.EngineLeaves(10*time.Second, first)
		if back {
			j.EngineBack(first)
		}
		arriveAt(j, 10*time.Second+drainBound+time.Millisecond, first)
		wantBroken(t, j, want...)
	}
}

// TestJudgeCatchesAnEngineThatIsNotServedAgain starts an engine again under its id.
func TestJudgeCatchesAnEngineThatIsNotServedAgain(t *testing.T) {
	for served, want := range map[bool][]Promise{true: nil, false: {ServesOn}} {
		j := NewJudge(1)
		j.EngineAdded(0, first, serviceModels, zones[0], 0)
		arriveAt(j, time.Second, first)
		j.EngineAdded(10*time.Second, first+"/1", serviceModels, zones[0], 0)
		if served {
			arriveAt(j, 12*time.Second, first+"/1")
		}
		j.ServesAgain(16*time.Second, 10*time.Second, first+"/1")
		wantBroken(t, j, want...)
	}
}

// TestNoShapeIsASoundEntry makes each shape of a sound entry.
func TestNoShapeIsASoundEntry(t *testing.T) {
	sound := func() map[string]any {
		return map[string]any{"service": servicePortal, "address": "127.0.0.1:1", "zone": zones[0], "slots": 12, "state": "ready", "cold_left_ms": 0}
	}
	seen := map[string]string{string(encode(sound())): "sound"}
	for _, shape := range shapes {
		made := string(shape.make(sound()))
		if other, found := seen[made]; found {
			t.Errorf("%s makes the same as %s", shape.name, other)
		}
		seen[made] = shape.name
		var entry map[string]any
		if err := json.Unmarshal([]byte(made), &entry); err == nil && entry != nil && len(entry) < len(sound())-1 {
			t.Errorf("%s: %s", shape.name, made)
		}
	}
}
