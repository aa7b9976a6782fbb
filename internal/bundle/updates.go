package bundle

import (
	"slices"
	"sync"
)

// maxPastVersions is the number of past versions from which a manager can create an update.
const maxPastVersions = 8

// pastVersion is the part of a past bundle that is needed to create updates from it.
type pastVersion struct {
	version  uint64
	digest   string
	manifest []SectionDigest
}

// history holds the last versions that were in force on this node, the newest last. It is safe for
// concurrent use.
type history struct {
	mu       sync.Mutex
	versions []pastVersion
}

func (h *history) add(snapshot *Snapshot) {
	entry := pastVersion{
		version:  snapshot.Version(),
		digest:   snapshot.Digest,
		manifest: Manifest(snapshot.Declared),
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.versions = append(h.versions, entry)
	if len(h.versions) > maxPastVersions {
		h.versions = slices.Delete(h.versions, 0, 1)
	}
}

// find returns the last bundle with this version that was in force.
func (h *history) find(version uint64) (pastVersion, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, entry := range slices.Backward(h.versions) {
		if entry.version == version {
			return entry, true
		}
	}
	return pastVersion{}, false
}

// UpdateSince returns the update from an older version to the one in force, for a peer that has the older
// one. It returns false if that version is not among the last maxPastVersions that were in force on this
// node; the peer then needs the whole bundle, InForce().Signed.
func (m *Manager) UpdateSince(version uint64) (Update, bool) {
	inForce := m.InForce()
	past, found := m.history.find(version)
	if !found || past.version >= inForce.Version() {
		return Update{}, false
	}
	return Update{
		FromDigest: past.digest,
		Digest:     inForce.Digest,
		Sections:   Delta(past.manifest, inForce.Declared),
		SignOffs:   inForce.Signed.SignOffs,
	}, true
}

// ReceiveUpdate is like Receive for an update from a peer. After ErrUpdateBaseMismatch and ErrUpdateCorrupt
// the whole bundle should be requested from the peer.
func (m *Manager) ReceiveUpdate(update Update) error {
	decoded, signed, err := assemble(m.InForce(), update)
	if err != nil {
		return err
	}
	if violations := Check(decoded); len(violations) > 0 {
		return &ValidationError{Violations: violations}
	}
	return m.receiveCompiled(compileDecoded(decoded, update.Digest, signed))
}
