package lines

import (
	"fmt"
	"testing"
)

// TestPlaces shows whose place a line is told: its own, else that of its program's last
// turn, of no other program's.
func TestPlaces(t *testing.T) {
	m := NewMemory()
	parent, sub := Line{Program: "p", Session: "p"}, Line{Program: "p", Session: "sub"}
	if got := m.Get(parent); got != (Place{}) {
		t.Fatalf("an unknown line has place %+v", got)
	}
	m.Set(parent, Place{Engine: "e1", Tokens: 700})
	if got := m.Get(sub); got.Engine != "e1" {
		t.Errorf("a sub-agent's first turn: %+v, want its program's engine", got)
	}
	m.Set(sub, Place{Engine: "e2", Tokens: 900})
	if got := m.Get(parent); got != (Place{Engine: "e1", Tokens: 700}) {
		t.Errorf("the parent's line: %+v, want its own place", got)
	}
	if got := m.Get(Line{Program: "q", Session: "p"}); got != (Place{}) {
		t.Errorf("another program's line has place %+v", got)
	}
}

// TestNothingIsKnownOfNoProgram shows that requests of no program share no place, and
// that a turn which no engine served changes none.
func TestNothingIsKnownOfNoProgram(t *testing.T) {
	m := NewMemory()
	m.Set(Line{}, Place{Engine: "e1"})
	if got := m.Get(Line{}); got != (Place{}) {
		t.Errorf("requests of no program have place %+v", got)
	}
	m.Set(Line{Program: "p"}, Place{Engine: "e1"})
	m.Set(Line{Program: "p"}, Place{})
	if got := m.Get(Line{Program: "p"}); got.Engine != "e1" {
		t.Errorf("a turn that no engine served changed the place to %+v", got)
	}
}

// TestMemoryIsBounded shows that old lines are forgotten, and new ones are not.
func TestMemoryIsBounded(t *testing.T) {
	m := NewMemory()
	for i := range 20 * maxLines {
		m.Set(Line{Program: fmt.Sprint(i), Session: "s"}, Place{Engine: "e"})
	}
	if kept := len(m.newer) + len(m.older); kept > 4*maxLines+4 {
		t.Errorf("%d places are kept", kept)
	}
	if got := m.Get(Line{Program: fmt.Sprint(20*maxLines - 1), Session: "s"}); got.Engine != "e" {
		t.Error("the newest line is forgotten")
	}
	if got := m.Get(Line{Program: "0", Session: "s"}); got.Engine != "" {
		t.Error("the oldest line is remembered")
	}
}
