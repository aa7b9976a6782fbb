package placement

import (
	"time"

	"github.com/pewtermill/pewtermill/internal/coldstart"
)

// coldStarts implements scheduler.ColdStarts. The core calls it while the mutex is held.
type coldStarts Placer

// HeldBack implements scheduler.ColdStarts.
func (p *coldStarts) HeldBack(id string, now time.Time) bool { return p.cold.HeldBack(now, id) }

// Cold implements scheduler.ColdStarts.
func (p *coldStarts) Cold(id string, _ time.Time) bool { return p.cold.Cold(id) }

// Assigned implements scheduler.ColdStarts.
func (p *coldStarts) Assigned(id string, now time.Time) time.Time { return p.cold.Admit(now, id) }

// SetNodes sets the addresses of this node and of all others. From them, nodes agree on which of
// them may send to a cold engine.
func (p *Placer) SetNodes(own string, others []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cold.SetNodes(own, others)
}

// AddNode adds a node that has joined and that the list of SetNodes does not name yet.
func (p *Placer) AddNode(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cold.AddNode(address)
}

// SetMasked sets the ids of engines that the next SetEngines lacks only because a foreign entry,
// written by another writer, masks their own. Their state is kept. The caller must not modify the
// map afterwards.
func (p *Placer) SetMasked(engines map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.masked = engines
	p.cold.SetMasked(engines)
}

// SourceLost records that updates of the engine list have stopped.
func (p *Placer) SourceLost() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cold.SourceLost(time.Now())
}

// SourceRegained records that updates of the engine list arrive again.
func (p *Placer) SourceRegained() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.cold.SourceRegained(time.Now())
}

// ColdStats returns statistics of the cold engines and of the requests to them.
func (p *Placer) ColdStats() coldstart.Stats {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.cold.Stats(time.Now())
}

// reportWarmth calls Options.WarmthChanged for engines that have turned cold or warm. The mutex is held.
func (p *Placer) reportWarmth(now time.Time) {
	for _, change := range p.cold.Refresh(now) {
		if p.options.WarmthChanged != nil {
			p.options.WarmthChanged(change)
		}
	}
}

// HasSendDeadline reports whether the request must be sent at once, because its engine is cold.
func (p *Placement) HasSendDeadline() bool { return !p.sendBy.IsZero() }

// MaySend reports whether the request may still be sent to its engine. A request admitted to a
// cold engine must be sent at once: sent later, it would add to the requests admitted after it.
func (p *Placement) MaySend(now time.Time) bool { return p.sendBy.IsZero() || now.Before(p.sendBy) }
