package ownership

import "sync"

// maxHandovers bounds how many programs are remembered as given up.
const maxHandovers = 4096

// handovers remembers the programs that this run gave up while they were idle,
// and in which epoch. Until somebody claims such a program nothing can have run
// under its standing reservation, so that taking it back need not charge for it.
// What is forgotten is charged, as after a crash. Safe for concurrent use.
type handovers struct {
	mutex  sync.Mutex
	epochs map[string]uint64 // by program
}

// add remembers a program that was given up.
func (h *handovers) add(program string, epoch uint64) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.epochs == nil {
		h.epochs = make(map[string]uint64)
	}
	if len(h.epochs) >= maxHandovers {
		h.dropAny()
	}
	h.epochs[program] = epoch
}

// dropAny makes room. The mutex is held.
func (h *handovers) dropAny() {
	for program := range h.epochs {
		delete(h.epochs, program)
		return
	}
}

// take forgets the program, and reports whether it was given up in that epoch.
func (h *handovers) take(program string, epoch uint64) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	given, ok := h.epochs[program]
	delete(h.epochs, program)
	return ok && given == epoch
}
