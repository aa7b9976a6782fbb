package placement

import (
	"github.com/cespare/xxhash/v2"

	"github.com/pewtermill/pewtermill/internal/loads"
)

// maxRejected bounds the rejected programs that are kept, in each of two generations: a fleet
// that rejects 400 programs per second keeps them for at least 10 s.
const maxRejected = 4096

// rejectedPrograms holds the programs that were recently rejected, here or at other nodes.
type rejectedPrograms struct{ newer, older map[uint64]bool }

// add stores a program. It reports false if the program was stored already.
func (r *rejectedPrograms) add(program uint64) bool {
	if r.contains(program) {
		return false
	}
	if r.newer == nil || len(r.newer) >= maxRejected {
		r.older, r.newer = r.newer, make(map[uint64]bool)
	}
	r.newer[program] = true
	return true
}

func (r *rejectedPrograms) contains(program uint64) bool { return r.newer[program] || r.older[program] }

// RecordRejection records that a program was rejected, and queues a report to the other nodes.
func (p *Placer) RecordRejection(program string) {
	hash := xxhash.Sum64String(program)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.demand.rejected.add(hash) && len(p.fleet.pendingPrefixes) < maxPendingPrefixes {
		p.fleet.pendingPrefixes = append(p.fleet.pendingPrefixes, loads.Prefix{Engine: loads.RejectedKey, Hash: hash})
	}
}

// RecentlyRejected reports whether a program was recently rejected, here or by another node's report.
func (p *Placer) RecentlyRejected(program string) bool {
	hash := xxhash.Sum64String(program)
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.demand.rejected.contains(hash)
}
