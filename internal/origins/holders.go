package origins

import (
	"slices"
	"sync"
)

// holders records which sends of a stream peers may have stored, so that the stream does not begin at a version while a peer may
// return another one. Safe for concurrent use.
type holders struct {
	mutex  sync.Mutex
	latest int                      // number of the latest send
	byPeer map[string][]messageSent // by address; one entry for each message that the peer may have stored
}

// messageSent is a message that states where a stream starts.
type messageSent struct {
	attempt          int
	service, version string
}

// begin makes a send the latest one, and returns the peers that may have stored another version or service, in a fixed order. From
// then on mayTell permits no message of an earlier send.
func (h *holders) begin(origin Origin) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.latest = max(h.latest, origin.Attempt)
	return h.others(origin)
}

// othersThan returns the peers that may have stored another version or service than an origin's.
func (h *holders) othersThan(origin Origin) []string {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.others(origin)
}

// others does what othersThan does. The mutex must be held.
func (h *holders) others(origin Origin) []string {
	var peers []string
	for peer, messages := range h.byPeer {
		if slices.ContainsFunc(messages, func(message messageSent) bool {
			return message.version != origin.Version || message.service != origin.Service
		}) {
			peers = append(peers, peer)
		}
	}
	slices.Sort(peers)
	return peers
}

// mayTell reports whether a peer may be sent an origin, and records that it may have stored it. It is false once a later send has
// begun.
func (h *holders) mayTell(peer string, origin Origin) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if origin.Attempt < h.latest {
		return false
	}
	if h.byPeer == nil {
		h.byPeer = make(map[string][]messageSent)
	}
	h.byPeer[peer] = append(h.byPeer[peer], messageSent{origin.Attempt, origin.Service, origin.Version})
	return true
}

// stored records that a peer has stored an origin. It has, and takes, none of an earlier send any more.
func (h *holders) stored(peer string, origin Origin) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.byPeer[peer] = slices.DeleteFunc(h.byPeer[peer], func(message messageSent) bool { return message.attempt < origin.Attempt })
}

// notStored records that a peer has certainly not stored an origin of one message for which mayTell was called.
func (h *holders) notStored(peer string, origin Origin) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	message := messageSent{origin.Attempt, origin.Service, origin.Version}
	if i := slices.Index(h.byPeer[peer], message); i >= 0 {
		h.byPeer[peer] = slices.Delete(h.byPeer[peer], i, i+1)
	}
}
