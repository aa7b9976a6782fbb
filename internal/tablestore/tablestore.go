// Package tablestore holds the interfaces to the operator's platform, and
// clients of it: a transactional table service, an object store, and a list of
// machines that may lag. The interfaces are narrow so that another wire format
// needs only one adapter. Every implementation is safe for concurrent use.
package tablestore

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Row is one row of the table service. Revision increases with every write to
// the key and is never reused, not even after a delete. WriteID is that of the
// transaction that last wrote the row.
type Row struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	WriteID  string `json:"write_id"`
}

// Condition holds if the row's revision equals Revision; 0 means absent.
type Condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions hold, and none otherwise.
// Every transaction must be self-conditioned: at least one condition is on a
// key that it also writes, so that applying it a second time fails. This makes
// it possible to resolve the outcome after a lost reply.
type Transaction struct {
	WriteID    string      `json:"write_id"`
	Conditions []Condition `json:"conditions"`
	Writes     []Write     `json:"writes"`
	// Deferrable marks a transaction that may wait while there is more to write than
	// the service accepts: one that starts something new, as opposed to one that
	// records what has happened.
	Deferrable bool `json:"-"`
	// Across marks a transaction whose keys belong to several parts of the service.
	Across bool `json:"across,omitempty"`
}

// Receipt holds the new revision of each written key.
type Receipt struct {
	Revisions map[string]uint64 `json:"revisions"`
}

// Errors of the table service and its client.
var (
	// ErrUnavailable: the service certainly did not apply the transaction.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnreachable: this node could not establish or keep a connection to the
	// service. It comes together with ErrUnavailable or ErrUnknownOutcome.
	ErrUnreachable = errors.New("table service unreachable")
	// ErrConnectTimedOut: nothing responded to the attempt to connect in time. It comes together with
	// ErrUnreachable. Unlike a refused connection, one that times out may only be late, as behind a queue on a link.
	ErrConnectTimedOut = errors.New("no response to the attempt to connect to the table service")
	// ErrThrottled: rejected by the service's rate limit, not applied.
	ErrThrottled = errors.New("table service over its rate limit")
	// ErrWasThrottled: the service throttled the call, which was in flight again when its context
	// ended. It comes together with ErrUnknownOutcome, and shows that the service is up.
	ErrWasThrottled = errors.New("table service was over its rate limit")
	// ErrUnknownOutcome: the reply was lost; the write may have happened.
	ErrUnknownOutcome = errors.New("outcome of table write unknown")
	// ErrNotFound: no such object.
	ErrNotFound = errors.New("not found")
	// ErrHistoryTruncated: the changes since a version are no longer available.
	ErrHistoryTruncated = errors.New("the history of changes is gone")
	// ErrUnconfirmed: the rows come from another reader, while the service did not respond.
	ErrUnconfirmed = errors.New("the service has not confirmed that these are the newest rows")
	// ErrCorrupt: an object's content does not match its digest.
	ErrCorrupt = errors.New("object does not match its digest")
)

// ConflictError describes the first condition that did not hold, and the current
// row (Revision 0 if absent).
type ConflictError struct {
	Index   int `json:"index"`
	Current Row `json:"current"`
	// Rows are the current rows of all conditions, without absent ones, if there are
	// several conditions and the service returns the rows; otherwise nil.
	Rows []Row `json:"rows,omitempty"`
}

// Error implements error.
func (e *ConflictError) Error() string { return "condition failed on " + e.Current.Key }

// Table is the transactional table service.
type Table interface {
	// Commit applies the transaction once. Errors: *ConflictError,
	// ErrUnavailable, ErrThrottled, ErrUnknownOutcome.
	Commit(ctx context.Context, transaction Transaction) (Receipt, error)
	// Get returns the row, with Revision 0 if absent.
	Get(ctx context.Context, key string) (Row, error)
	// Range returns at most limit rows with start <= key < end, in key order, as of one moment. The service may
	// return fewer rows than there are; ReadAll reads the rest as well.
	Range(ctx context.Context, start, end string, limit int) (Page, error)
}

// Change is a row as of its revision. Gone means that this revision removed it.
type Change struct {
	Row
	Gone bool `json:"gone,omitempty"`
}

// Feed returns the rows of a whole table and their changes.
//
// Responses may be large: for each chunk that arrives, implementations call progress.Report with the call's context.
type Feed interface {
	// Snapshot returns all rows of a table, and the service's version as of which
	// they were read.
	Snapshot(ctx context.Context, table string) ([]Change, uint64, error)
	// Changes waits until rows have changed after a version, and returns them in
	// order, with the version to continue from. If none change in time it returns none.
	// Errors: those of Table, and ErrHistoryTruncated. With an error marked ErrUnconfirmed rows and version
	// are valid, but there may be newer ones.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) ([]Change, uint64, error)
}

// Objects is the object store. Objects are immutable and content-addressed:
// PutObject returns the digest (SHA-256, hexadecimal) under which GetObject finds it.
type Objects interface {
	PutObject(ctx context.Context, content []byte) (digest string, err error)
	GetObject(ctx context.Context, digest string) ([]byte, error)
}

// Machine is one entry of the machine list.
type Machine struct {
	Name    string `json:"name"`
	Role    string `json:"role"` // node, engine, tool
	Zone    string `json:"zone"`
	Address string `json:"address"`
	Leaving bool   `json:"leaving"`
}

// Machines is the list of live and leaving machines. It may lag.
type Machines interface {
	List(ctx context.Context) ([]Machine, error)
}

// Store commits on behalf of many programs. It groups what is submitted
// within a short window into one transaction, retries throttled ones, and
// resolves unknown outcomes by write id, so that its caller gets only: nil, a
// *ConflictError about its own conditions, or ErrUnavailable, which here
// means that the write certainly did not and will not happen, or
// ErrUnknownOutcome if the context ended before the outcome was resolved.
type Store interface {
	Table
	Objects
}
