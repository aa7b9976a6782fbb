package relay

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Outcome is the result of a relayed call.
type Outcome struct {
	Receipt  tablestore.Receipt        `json:"receipt,omitzero"`
	Rows     []tablestore.Row          `json:"rows,omitempty"`
	Complete bool                      `json:"complete,omitempty"` // of a range read: there are no rows after Rows
	Changes  []tablestore.Change       `json:"changes,omitempty"`  // of a watch
	Version  uint64                    `json:"version,omitempty"`  // of a watch: the version to continue from
	Conflict *tablestore.ConflictError `json:"conflict,omitempty"`
	Failure  Failure                   `json:"failure,omitempty"`
	Detail   string                    `json:"detail,omitempty"`
}

// Failure is the code of a table service failure in messages between peers.
type Failure string

// Failures.
const (
	Unreachable Failure = "unreachable" // the peer cannot reach the table service either
	Busy        Failure = "busy"        // the peer is at its limit of relayed calls, or stops; it did not make the call
	Unavailable Failure = "unavailable"
	Throttled   Failure = "throttled"
	Rejected    Failure = "rejected"
	HistoryGone Failure = "history_gone"
	Unknown     Failure = "unknown"
)

// isAnswer reports whether the table service answered the call.
func (o Outcome) isAnswer() bool {
	switch o.Failure {
	case "", Throttled, Rejected, HistoryGone:
		return true
	}
	return false
}

// page returns the result of a range read. A peer of an older build does not state that its rows are complete, so
// rows without that statement are read on from.
func (o Outcome) page() tablestore.Page {
	return tablestore.Page{Rows: o.Rows, More: !o.Complete && len(o.Rows) > 0}
}

// err converts an outcome to an error of tablestore; nil if the call succeeded.
func (o Outcome) err() error {
	if o.Conflict != nil {
		return o.Conflict
	}
	if o.Failure == "" {
		return nil
	}
	kind := tablestore.ErrUnknownOutcome
	switch o.Failure {
	case Unreachable, Unavailable, Busy:
		kind = tablestore.ErrUnavailable
	case Throttled:
		kind = tablestore.ErrThrottled
	case Rejected:
		kind = tablestore.ErrRejected
	case HistoryGone:
		kind = tablestore.ErrHistoryTruncated
	}
	return errors.Mark(errors.Newf("call through a peer: %s", o.Detail), kind)
}

// failureOf returns the code of an error of the table service; empty for nil.
func failureOf(err error) Failure {
	switch {
	case err == nil:
		return ""
	case errors.Is(err, tablestore.ErrUnknownOutcome):
		return Unknown
	case errors.Is(err, tablestore.ErrUnreachable):
		return Unreachable
	case errors.Is(err, tablestore.ErrThrottled):
		return Throttled
	case errors.Is(err, tablestore.ErrRejected):
		return Rejected
	case errors.Is(err, tablestore.ErrHistoryTruncated):
		return HistoryGone
	case errors.Is(err, tablestore.ErrUnavailable):
		return Unavailable
	}
	return Unknown
}

// decodeOutcome decodes a peer's outcome of a request. It returns an error if the outcome is malformed or cannot belong to the request.
func decodeOutcome(request *wirepb.Request, content []byte) (Outcome, error) {
	var outcome Outcome
	if err := json.Unmarshal(content, &outcome); err != nil {
		return Outcome{}, errors.Wrap(err, "decode a peer's outcome")
	}
	if outcome.Failure != "" && outcome.Conflict == nil {
		return outcome, nil
	}
	if request.GetCommitTable() == nil && outcome.Conflict != nil {
		return Outcome{}, errors.New("peer reported a conflict of a call without conditions")
	}
	var problem error
	switch body := request.GetBody().(type) {
	case *wirepb.Request_CommitTable:
		problem = checkCommit(body.CommitTable, outcome)
	case *wirepb.Request_RangeTable:
		problem = checkRange(body.RangeTable, outcome)
	case *wirepb.Request_WatchTable:
		problem = checkWatch(body.WatchTable, outcome)
	}
	if problem != nil {
		return Outcome{}, problem
	}
	return outcome, nil
}

// checkCommit returns an error if an outcome cannot be that of a transaction: a conflict has to
// be of one of its conditions, a receipt has to contain all rows that were written.
func checkCommit(request *wirepb.CommitTable, outcome Outcome) error {
	var transaction tablestore.Transaction
	if err := json.Unmarshal(request.GetTransaction(), &transaction); err != nil {
		return errors.Wrap(err, "decode transaction")
	}
	if conflict := outcome.Conflict; conflict != nil {
		if conflict.Index < 0 || conflict.Index >= len(transaction.Conditions) {
			return errors.Newf("peer reported a conflict of condition %d of %d", conflict.Index, len(transaction.Conditions))
		}
		if key := transaction.Conditions[conflict.Index].Key; conflict.Current.Key != key {
			return errors.Newf("peer reported a conflict of row %s instead of %s", conflict.Current.Key, key)
		}
		return nil
	}
	for _, write := range transaction.Writes {
		if !write.Delete && outcome.Receipt.Revisions[write.Key] == 0 {
			return errors.Newf("peer's receipt lacks row %s", write.Key)
		}
	}
	return nil
}

// checkRange returns an error if an outcome cannot be that of a range read.
func checkRange(request *wirepb.RangeTable, outcome Outcome) error {
	if len(outcome.Rows) > int(request.GetLimit()) {
		return errors.Newf("peer returned %d rows, more than the limit of %d", len(outcome.Rows), request.GetLimit())
	}
	// A reader continues behind the last row, so rows out of order would hide others.
	if !slices.IsSortedFunc(outcome.Rows, func(a, b tablestore.Row) int { return strings.Compare(a.Key, b.Key) }) {
		return errors.New("peer returned rows out of order")
	}
	for _, row := range outcome.Rows {
		if row.Key < request.GetStart() || row.Key >= request.GetEnd() || row.Revision == 0 {
			return errors.Newf("peer returned row %s, revision %d, which was not requested", row.Key, row.Revision)
		}
	}
	return nil
}

// checkWatch returns an error if an outcome cannot be that of a watch. Rows of an older version
// than requested would set a view back.
func checkWatch(request *wirepb.WatchTable, outcome Outcome) error {
	if outcome.Version == 0 || outcome.Version < request.GetAfter() {
		return errors.Newf("peer returned version %d for a watch after version %d", outcome.Version, request.GetAfter())
	}
	for _, change := range outcome.Changes {
		if change.Key == "" || change.Revision <= request.GetAfter() || (!request.GetSnapshot() && change.Revision > outcome.Version) {
			return errors.Newf("peer returned row %q of revision %d for a watch between versions %d and %d",
				change.Key, change.Revision, request.GetAfter(), outcome.Version)
		}
	}
	return nil
}
