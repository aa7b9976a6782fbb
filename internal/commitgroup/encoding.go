package commitgroup

import (
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/tablestore"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// errMalformedOutcome marks outcomes of a writer that do not fit the transaction.
var errMalformedOutcome = errors.New("malformed outcome of a grouped commit")

// failures names the errors of the service on the wire, the most specific ones first.
var failures = []struct {
	name string
	kind error
}{
	{"unknown", tablestore.ErrUnknownOutcome},
	{"throttled", tablestore.ErrThrottled},
	{"rejected", tablestore.ErrRejected},
	{"unavailable", tablestore.ErrUnavailable},
}

// encode returns a transaction as the message for a writer.
func encode(transaction tablestore.Transaction, wait time.Duration) *wirepb.GroupedCommit {
	grouped := &wirepb.GroupedCommit{WaitMillis: min(maxWait, wait).Milliseconds(), Deferrable: transaction.Deferrable}
	for _, condition := range transaction.Conditions {
		grouped.Conditions = append(grouped.Conditions, &wirepb.GroupedCommit_Condition{Key: condition.Key, Revision: condition.Revision})
	}
	for _, write := range transaction.Writes {
		grouped.Writes = append(grouped.Writes, &wirepb.GroupedCommit_Write{Key: write.Key, Value: write.Value, Delete: write.Delete})
	}
	return grouped
}

// decode returns a peer's transaction, and how long it may wait.
func decode(grouped *wirepb.GroupedCommit) (tablestore.Transaction, time.Duration, error) {
	transaction := tablestore.Transaction{Deferrable: grouped.GetDeferrable()}
	for _, condition := range grouped.GetConditions() {
		transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: condition.GetKey(), Revision: condition.GetRevision()})
	}
	for _, write := range grouped.GetWrites() {
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: write.GetKey(), Value: write.GetValue(), Delete: write.GetDelete()})
	}
	millis := grouped.GetWaitMillis()
	if newMember(transaction) == nil || millis < 0 || millis > maxWait.Milliseconds() {
		return tablestore.Transaction{}, 0, errors.Newf("a peer's transaction of %d conditions and %d writes, to wait %d ms, joins no group",
			len(transaction.Conditions), len(transaction.Writes), millis)
	}
	return transaction, time.Duration(millis) * time.Millisecond, nil
}

// encodeOutcome returns the outcome of a peer's transaction as a message.
func encodeOutcome(transaction tablestore.Transaction, receipt tablestore.Receipt, err error) *wirepb.GroupedOutcome {
	outcome := &wirepb.GroupedOutcome{}
	var conflict *tablestore.ConflictError
	switch {
	case errors.As(err, &conflict):
		outcome.Conflict = true
		if errors.Is(err, tablestore.ErrUnknownOutcome) {
			outcome.Failure = failureOf(err) // along with the current row
		}
		outcome.Index = int64(conflict.Index)
		outcome.CurrentRevision = conflict.Current.Revision
		outcome.CurrentValue = conflict.Current.Value
	case err != nil:
		outcome.Failure = failureOf(err)
		outcome.Detail = err.Error()
	default:
		for _, write := range transaction.Writes {
			if !write.Delete {
				outcome.Revisions = append(outcome.Revisions, receipt.Revisions[write.Key])
			}
		}
	}
	return outcome
}

// failureOf returns the name of an error. Any error that is not in failures leaves the outcome unknown.
func failureOf(err error) string {
	for _, failure := range failures {
		if errors.Is(err, failure.kind) {
			return failure.name
		}
	}
	return failures[0].name
}

// decodeOutcome decodes a writer's outcome. The error is marked errMalformedOutcome if the outcome does not
// fit the transaction.
func decodeOutcome(transaction tablestore.Transaction, body []byte) (tablestore.Receipt, error) {
	var outcome wirepb.GroupedOutcome
	if err := proto.Unmarshal(body, &outcome); err != nil {
		return tablestore.Receipt{}, errors.Mark(err, errMalformedOutcome)
	}
	switch {
	case outcome.GetConflict() && outcome.GetFailure() != "":
		return tablestore.Receipt{}, errors.Mark(decodeConflict(transaction, &outcome), tablestore.ErrUnknownOutcome)
	case outcome.GetFailure() != "":
		return tablestore.Receipt{}, decodeFailure(&outcome)
	case outcome.GetConflict():
		return tablestore.Receipt{}, decodeConflict(transaction, &outcome)
	}
	return decodeReceipt(transaction, outcome.GetRevisions())
}

func decodeFailure(outcome *wirepb.GroupedOutcome) error {
	for _, failure := range failures {
		if outcome.GetFailure() == failure.name {
			return errors.Mark(errors.Mark(errors.Newf("writer reported: %s", outcome.GetDetail()), failure.kind), errByWriter)
		}
	}
	return errors.Mark(errors.Newf("unknown failure %q", outcome.GetFailure()), errMalformedOutcome)
}

func decodeConflict(transaction tablestore.Transaction, outcome *wirepb.GroupedOutcome) error {
	index := outcome.GetIndex()
	if index < 0 || index >= int64(len(transaction.Conditions)) {
		return errors.Mark(errors.Newf("conflict on condition %d of %d", index, len(transaction.Conditions)), errMalformedOutcome)
	}
	condition := transaction.Conditions[index]
	if outcome.GetCurrentRevision() == condition.Revision {
		return errors.Mark(errors.Newf("conflict reported for a condition on %s that holds", condition.Key), errMalformedOutcome)
	}
	return &tablestore.ConflictError{Index: int(index), Current: tablestore.Row{
		Key:      condition.Key,
		Value:    outcome.GetCurrentValue(),
		Revision: outcome.GetCurrentRevision(),
	}}
}

func decodeReceipt(transaction tablestore.Transaction, revisions []uint64) (tablestore.Receipt, error) {
	receipt := tablestore.Receipt{Revisions: make(map[string]uint64, len(revisions))}
	for _, write := range transaction.Writes {
		if write.Delete {
			continue
		}
		if len(revisions) == 0 || revisions[0] == 0 {
			return tablestore.Receipt{}, errors.Mark(errors.Newf("receipt lacks the revision of row %s", write.Key), errMalformedOutcome)
		}
		receipt.Revisions[write.Key] = revisions[0]
		revisions = revisions[1:]
	}
	if len(revisions) > 0 {
		return tablestore.Receipt{}, errors.Mark(errors.Newf("receipt has %d revisions too many", len(revisions)), errMalformedOutcome)
	}
	return receipt, nil
}
