package ownership

import "sync"

// maxHandovers bounds the number of released programs that are kept.
const maxHandovers = 4096

// handovers stores the programs that this incarnation released while they were
// idle, and the epoch of each. Until another node claims such a program nothing
// can have run under its reservation, so claiming it back charges nothing. If an
// entry has been dropped, the reservation is charged, as after a crash. Safe for
// concurrent use.
type handovers struct {
	mutex  sync.Mutex
	epochs map[string]uint64 // by program
}

// add stores a program that was released.
func (h *handovers) add(program string, epoch uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.epochs == nil {
		h.epochs = make(map[string]uint64)
	}
	if len(h.epochs) >= maxHandovers {
		h.dropOne()
	}
	h.epochs[program] = epoch
}

// dropOne drops an arbitrary program to make room. The caller holds the mutex.
func (h *handovers) dropOne() {
	for program := range h.epochs {
		delete(h.epochs, program)
		return
	}
}

// take removes the program, and reports whether it was released in that epoch.
func (h *handovers) take(program string, epoch uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	releasedIn, ok := h.epochs[program]
	delete(h.epochs, program)
	return ok && releasedIn == epoch
}
