package bundle

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/api"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

const (
	// maxSubmitAttempts limits the writes of one submission.
	maxSubmitAttempts = 4
	// storeRetryAfter is the Retry-After of errors while the table cannot be reached.
	storeRetryAfter = 2 * time.Second
)

// submission is one attempt to make a bundle the current one in the table.
type submission struct {
	manager *Manager
	next    *Snapshot
	// outcomeUnknown is set once a write's outcome is unknown: from then on the
	// bundle may be, or may have been, the current one.
	outcomeUnknown bool
}

// run reads, verifies and writes until the outcome is known.
func (s *submission) run(ctx context.Context) *api.Error {
	writes, err := s.writes()
	if err != nil {
		return api.Errorf(api.BundleInvalid, "%v", err)
	}
	for range maxSubmitAttempts {
		stored, revision, err := s.manager.readTable(ctx)
		if err != nil {
			return s.storeError(err)
		}
		if stored != nil && stored.Digest == s.next.Digest {
			return nil
		}
		if rejection := s.verify(stored); rejection != nil {
			return rejection
		}
		err = s.write(ctx, writes, revision)
		if err == nil {
			return nil
		}
		if !s.shouldReadBack(err) {
			return s.storeError(err)
		}
	}
	return s.storeError(tablestore.ErrUnknownOutcome)
}

// verify rejects a bundle that may not replace the one in the table.
func (s *submission) verify(stored *Snapshot) *api.Error {
	rejection := verifyDecoded(stored, s.next.Declared, s.next.Signed.SignOffs)
	if rejection == nil || !s.outcomeUnknown || stored.Version() <= s.next.Version() {
		return rejection
	}
	return api.Errorf(api.OutcomeUnknown,
		"version %d is in force; whether it replaced this bundle cannot be established", stored.Version())
}

// writes returns the rows of the bundle and of its version.
func (s *submission) writes() ([]tablestore.Write, error) {
	signed, err := json.Marshal(s.next.Signed)
	if err != nil {
		return nil, err
	}
	record, err := json.Marshal(VersionRecord{Version: s.next.Version(), Digest: s.next.Digest, Origin: s.manager.origin})
	if err != nil {
		return nil, err
	}
	return []tablestore.Write{{Key: CurrentKey, Value: signed}, {Key: VersionKey, Value: record}}, nil
}

// write replaces the rows if the bundle's row still has the revision that was verified.
func (s *submission) write(ctx context.Context, writes []tablestore.Write, revision uint64) error {
	_, err := s.manager.table.Commit(ctx, tablestore.Transaction{
		WriteID:    "bundle-" + rand.Text(),
		Conditions: []tablestore.Condition{{Key: CurrentKey, Revision: revision}},
		Writes:     writes,
	})
	return err
}

// shouldReadBack reports whether the outcome of a failed write can be determined by reading the row again.
// The write may have been applied unless the error guarantees that nothing was written.
func (s *submission) shouldReadBack(err error) bool {
	if errors.Is(err, tablestore.ErrUnavailable) || errors.Is(err, tablestore.ErrThrottled) {
		return false
	}
	var conflict *tablestore.ConflictError
	if !errors.As(err, &conflict) {
		s.outcomeUnknown = true
	}
	return true
}

// storeError returns the error for a table that cannot be read or written, by what is known of the writes.
func (s *submission) storeError(err error) *api.Error {
	if s.outcomeUnknown {
		return api.Errorf(api.OutcomeUnknown, "the bundle may have been written: %v", err).WithRetryAfter(storeRetryAfter)
	}
	return api.Errorf(api.StoreDown, "the bundle was not written: %v", err).WithRetryAfter(storeRetryAfter)
}
