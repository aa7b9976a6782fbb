package carry

import (
	"sync"
	"time"
)

// Times for which a carrier is skipped.
const (
	// declineSkip applies after a carrier answered late, or declined.
	declineSkip = time.Second
	// minLossSkip and maxLossSkip apply after a carrier gave no answer: the time doubles with each loss in a row.
	minLossSkip = time.Second
	maxLossSkip = 8 * time.Second
)

// peerStates holds a node's records of the carriers that it uses. Safe for concurrent use.
type peerStates struct {
	mutex sync.Mutex
	peers map[string]*peerState // by address
}

// peerState is the record of one peer.
type peerState struct {
	inFlight  int
	skipUntil time.Time     // after a late answer, or none yet, or one that declined
	lostUntil time.Time     // until when it is skipped after a loss
	lossSkip  time.Duration // for how long it was skipped after the last loss; 0 if it has answered since
}

func newPeerStates() *peerStates { return &peerStates{peers: make(map[string]*peerState)} }

// candidates returns the current state of carriers.
func (p *peerStates) candidates(addresses []string, now time.Time) []Candidate {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	found := make([]Candidate, 0, len(addresses))
	for _, address := range addresses {
		candidate := Candidate{Address: address}
		if peer := p.peers[address]; peer != nil {
			candidate.Unavailable = now.Before(peer.skipUntil) || now.Before(peer.lostUntil)
			candidate.InFlight = peer.inFlight
		}
		found = append(found, candidate)
	}
	return found
}

// state returns the record of a peer, and creates it if needed. The mutex is held.
func (p *peerStates) state(address string) *peerState {
	peer := p.peers[address]
	if peer == nil {
		peer = &peerState{}
		p.peers[address] = peer
	}
	return peer
}

// begin counts a request to be carried by a peer.
func (p *peerStates) begin(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state(address).inFlight++
}

// end uncounts a request when it is over.
func (p *peerStates) end(address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state(address).inFlight--
}

// recordAnswer records that a peer acknowledged or answered a request after a time.
func (p *peerStates) recordAnswer(address string, latency time.Duration, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.state(address)
	peer.lossSkip = 0
	if latency > slowAck {
		peer.skipUntil = now.Add(declineSkip)
	}
}

// recordLate records that a peer has not acknowledged a request in time.
func (p *peerStates) recordLate(address string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.state(address).skipUntil = now.Add(declineSkip)
}

// recordDecline records that a peer declined a request.
func (p *peerStates) recordDecline(address string, now time.Time) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.state(address)
	peer.lossSkip = 0
	peer.skipUntil = now.Add(declineSkip)
}

// recordLoss records that a peer gave no answer. It reports whether the peer had answered before.
func (p *peerStates) recordLoss(address string, now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	peer := p.state(address)
	first := peer.lossSkip == 0
	if now.Before(peer.lostUntil) && !first {
		return false
	}
	peer.lossSkip = min(maxLossSkip, max(minLossSkip, 2*peer.lossSkip))
	peer.lostUntil = now.Add(peer.lossSkip)
	return first
}

// retain drops the records of peers that are no carriers any more and carry nothing.
func (p *peerStates) retain(present map[string]bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for address, peer := range p.peers {
		if !present[address] && peer.inFlight == 0 {
			delete(p.peers, address)
		}
	}
}
