package wire

import "sync"

// Faults drops traffic between this node and named remote nodes, so that tests
// can simulate network partitions. A nil *Faults drops nothing. Safe for
// concurrent use.
//
// A dropped frame is lost silently, as on an unplugged cable: the sender sees a
// successful write. As with TCP, no later frame is delivered on a connection that lost
// one in the same direction: the connection ends at the next such frame after
// Heal, or DeadPeerTimeout after the first loss. New connections need both directions to be open.
type Faults struct {
	mu   sync.RWMutex
	to   map[string]bool
	from map[string]bool
}

// DropTo drops everything that this node sends to the remote node.
func (f *Faults) DropTo(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.to == nil {
		f.to = make(map[string]bool)
	}
	f.to[node] = true
}

// DropFrom drops everything that this node receives from the remote node.
func (f *Faults) DropFrom(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.from == nil {
		f.from = make(map[string]bool)
	}
	f.from[node] = true
}

// Heal opens both directions to and from the remote node.
func (f *Faults) Heal(node string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.to, node)
	delete(f.from, node)
}

// dropsTo reports whether frames to the node are dropped.
func (f *Faults) dropsTo(node string) bool {
	if f == nil {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.to[node]
}

// dropsFrom reports whether frames from the node are dropped.
func (f *Faults) dropsFrom(node string) bool {
	if f == nil {
		return false
	}
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.from[node]
}

// drops reports whether frames are dropped in either direction.
func (f *Faults) drops(node string) bool { return f.dropsTo(node) || f.dropsFrom(node) }
