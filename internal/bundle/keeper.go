package bundle

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// CurrentKey is the key of the row that holds the current bundle, as JSON of Signed.
const CurrentKey = "bundle/current"

// VersionKey is the key of the row that names the bundle in CurrentKey, as JSON of VersionRecord. The two
// rows are written together.
const VersionKey = "bundle/version"

// VersionRecord names the current bundle in the table. It is small, so that nodes can read it often.
type VersionRecord struct {
	Version uint64 `json:"version"`
	Digest  string `json:"digest"`
	Origin  string `json:"origin"` // peer address of the node to which the bundle was submitted
}

// receiveLoadTimeout limits the read of the table that receiving a bundle may require.
const receiveLoadTimeout = 5 * time.Second

// ErrNoBundle means that the table does not hold a bundle yet.
var ErrNoBundle = errors.New("no bundle in force yet")

// Manager holds the bundle that is in force (active) on one node. The version in force never decreases.
// A Manager is safe for concurrent use; InForce takes no lock.
type Manager struct {
	table   tablestore.Table
	onApply func(*Snapshot)
	origin  string

	inForce atomic.Pointer[Snapshot]
	applyMu sync.Mutex // serialises replacing inForce and calling onApply
	history history
}

// NewManager returns a manager with no bundle in force. onApply, if not nil, is called after each bundle
// becomes active, in the order of versions and one call at a time; it must not call Load, Submit or
// Receive.
func NewManager(table tablestore.Table, onApply func(*Snapshot)) *Manager {
	return &Manager{table: table, onApply: onApply}
}

// SetOrigin sets the address that Submit records as the bundle's origin. It must be called before the
// manager is used.
func (m *Manager) SetOrigin(address string) { m.origin = address }

// InForce returns the bundle in force on this node, or nil if there is none yet.
func (m *Manager) InForce() *Snapshot { return m.inForce.Load() }

// ReadVersion reads which bundle is current in the table. Errors: ErrNoBundle, or the table's.
func (m *Manager) ReadVersion(ctx context.Context) (VersionRecord, error) {
	row, err := m.table.Get(ctx, VersionKey)
	if err != nil {
		return VersionRecord{}, errors.Wrap(err, "read bundle version from table")
	}
	if row.Revision == 0 {
		return VersionRecord{}, ErrNoBundle
	}
	var record VersionRecord
	err = json.Unmarshal(row.Value, &record)
	return record, errors.Wrap(err, "bundle version in table")
}

// IsAtLeast reports whether that bundle, or one of a later version, is in force on this node.
func (m *Manager) IsAtLeast(record VersionRecord) bool {
	inForce := m.InForce()
	if inForce == nil || inForce.Version() < record.Version {
		return false
	}
	return inForce.Version() > record.Version || inForce.Digest == record.Digest
}

// Load reads the table and activates its bundle unless that is older than the one in force. Errors:
// ErrNoBundle, the table's, or those of a row that does not compile.
func (m *Manager) Load(ctx context.Context) error {
	stored, _, err := m.readTable(ctx)
	if err != nil {
		return err
	}
	if stored == nil {
		return ErrNoBundle
	}
	m.applyFromTable(stored)
	return nil
}

// Receive processes a bundle from a peer. A bundle that is not newer than the one in force is ignored. The
// next version is activated if its sign-offs verify against the one in force. If they do not, or cannot be
// verified because versions were skipped or another bundle has the same version, the table decides.
// Errors: the rejection, or that of Load.
func (m *Manager) Receive(signed Signed) error {
	inForce := m.InForce()
	if inForce != nil && bytes.Equal(signed.Source, inForce.Signed.Source) {
		return nil
	}
	received, err := Compile(signed)
	if err != nil {
		return err
	}
	return m.receiveCompiled(received)
}

// receiveCompiled processes a compiled bundle whose sign-offs are not verified yet.
func (m *Manager) receiveCompiled(received *Snapshot) error {
	inForce := m.InForce()
	switch {
	case received.Version() < inForce.Version():
		return nil
	case inForce != nil && received.Digest == inForce.Digest:
		return nil
	case inForce != nil && received.Version() == inForce.Version()+1:
		return m.receiveNext(inForce, received)
	default:
		return m.loadForReceive()
	}
}

// receiveNext processes the version after the one in force. If it does not verify, the table is read,
// because the bundle in force on this node may be the losing one of concurrent submissions and may
// therefore name the wrong reviewers.
func (m *Manager) receiveNext(inForce, received *Snapshot) error {
	rejection := verifyDecoded(inForce, received.Declared, received.Signed.SignOffs)
	if rejection == nil {
		m.apply(received)
		return nil
	}
	if err := m.loadForReceive(); err != nil {
		return errors.WithSecondaryError(rejection, err)
	}
	if m.InForce().Version() < received.Version() {
		return rejection
	}
	return nil
}

func (m *Manager) loadForReceive() error {
	ctx, cancel := context.WithTimeout(context.Background(), receiveLoadTimeout)
	defer cancel()
	return m.Load(ctx)
}

// apply activates a verified snapshot if it is newer.
func (m *Manager) apply(next *Snapshot) {
	m.applyIf(next, func(current *Snapshot) bool {
		return next.Version() > current.Version()
	})
}

// applyFromTable also replaces another bundle of the same version: only the table determines which of two
// concurrent submissions succeeded.
func (m *Manager) applyFromTable(next *Snapshot) {
	m.applyIf(next, func(current *Snapshot) bool {
		if next.Version() != current.Version() {
			return next.Version() > current.Version()
		}
		return next.Digest != current.Digest
	})
}

func (m *Manager) applyIf(next *Snapshot, replaces func(current *Snapshot) bool) {
	m.applyMu.Lock()
	defer m.applyMu.Unlock()
	if !replaces(m.inForce.Load()) {
		return
	}
	m.inForce.Store(next)
	m.history.add(next)
	if m.onApply != nil {
		m.onApply(next)
	}
}

// readTable returns the bundle in the table, or nil if there is none, and the revision of its row.
func (m *Manager) readTable(ctx context.Context) (*Snapshot, uint64, error) {
	row, err := m.table.Get(ctx, CurrentKey)
	if err != nil {
		return nil, 0, errors.Wrap(err, "read bundle from table")
	}
	if row.Revision == 0 {
		return nil, 0, nil
	}
	var signed Signed
	if err := json.Unmarshal(row.Value, &signed); err != nil {
		return nil, 0, errors.Wrap(err, "bundle in table")
	}
	snapshot, err := Compile(signed)
	if err != nil {
		return nil, 0, errors.Wrap(err, "bundle in table")
	}
	return snapshot, row.Revision, nil
}

// Submit makes a bundle the current one in the table and activates it on this node. It checks the bundle,
// verifies it against the current bundle in the table, and writes it only if that one has not changed, so
// that of concurrent submissions on one base exactly one succeeds. Submitting the current bundle again
// succeeds. Errors: BundleInvalid with every violation, BundleUnsigned, BundleStale with the version in
// force, StoreDown (not written), OutcomeUnknown (may have been written; submit it again to find out).
func (m *Manager) Submit(ctx context.Context, signed Signed) (*Snapshot, *api.Error) {
	next, err := Compile(signed)
	if err != nil {
		return nil, api.Errorf(api.BundleInvalid, "%v", err)
	}
	submission := &submission{manager: m, next: next}
	if rejection := submission.run(ctx); rejection != nil {
		return nil, rejection
	}
	m.applyFromTable(next)
	return next, nil
}
