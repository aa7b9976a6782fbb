package engine

import "time"

// transfer is an import of a program's cache that is in progress.
type transfer struct {
	program string
	blocks  []uint64
	doneAt  time.Time
}

// Export returns the blocks that a program holds, from the first up to the
// first that was evicted. The hold stays until Release. An export takes no
// time: Import at the receiving engine accounts for the transfer time.
func (m *Model) Export(now time.Time, program string) []uint64 {
	m.advanceTo(now)
	return m.cache.heldBlocks(program)
}

// Import starts to import a program's blocks. Imports run one after another
// at the transfer rate; each ends with an EventImported, when as many leading
// blocks as fit in addition to the running sequences are stored and held for the program.
func (m *Model) Import(now time.Time, program string, blocks []uint64) {
	m.advanceTo(now)
	start := m.now
	if last := len(m.transfers) - 1; last >= 0 {
		start = m.transfers[last].doneAt
	}
	duration := workTime(float64(len(blocks)*BlockTokens), m.options.TransferRate)
	m.transfers = append(m.transfers, transfer{program: program, blocks: blocks, doneAt: start.Add(duration)})
	m.applyTransitions()
}

func (m *Model) finishTransfer() bool {
	if len(m.transfers) == 0 || m.transfers[0].doneAt.After(m.now) {
		return false
	}
	done := m.transfers[0]
	m.transfers = m.transfers[1:]
	m.cache.importBlocks(done.program, done.blocks)
	m.events = append(m.events, Event{Kind: EventImported, At: m.now, Program: done.program})
	return true
}
