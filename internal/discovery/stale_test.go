package discovery_test

import (
	"testing"
	"time"

	"github.com/pewtermill/pewtermill/internal/discovery"
)

// TestAStaleListIsNoLostSource has the history go and lists be older than what was seen, for the 3.5 s that a read
// may be stale.
//
// What callers saw: a process that was in touch with the store and with its peers was not ready for .75 s, 6.2 s
// after the store was whole again (fault soak, seed 871203366). Its log had "list is stale: version 9442, 9452 was
// seen" at the moment it went back to the watcher of its zone, which had read the table anew from a part of the
// store that was behind. The list was rightly not taken, but whoever told it was counted as not answering.
func TestAStaleListIsNoLostSource(t *testing.T) {
	s := &source{version: 3, seen: 30}
	followAll(t, s, func(f *discovery.Follower) {
		s.set(func(s *source) { s.gone, s.stays, s.stale = true, true, 20 })
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			if !f.Connected() {
				t.Fatal("a source that answers with a stale list counts as lost")
			}
		}
		s.set(func(s *source) { s.gone, s.stays, s.stale, s.version, s.seen = false, false, 0, 4, 40 })
		time.Sleep(time.Second)
		if got := versionOf(f); got != 4 || !f.Connected() {
			t.Errorf("version %d is in force, want 4; connected: %t", got, f.Connected())
		}
	})
}

// TestASourceThatStaysStaleIsLost has lists be older than what was seen for longer than a read may be stale: nothing
// is known of what is new, and the process must not go on as if it heard of changes.
func TestASourceThatStaysStaleIsLost(t *testing.T) {
	s := &source{version: 3, seen: 30}
	followAll(t, s, func(f *discovery.Follower) {
		s.set(func(s *source) { s.gone, s.stays, s.stale = true, true, 20 })
		time.Sleep(6 * time.Second) // a call for changes of up to 2 s, and 3.5 s beyond it
		if f.Connected() {
			t.Error("a source whose lists stay stale counts as connected")
		}
	})
}
