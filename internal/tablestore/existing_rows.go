package tablestore

import (
	"context"

	"github.com/cockroachdb/errors"
)

// ExistingRows returns which of the given rows exist, also across several parts of the service, as of one moment
// and with one call: a transaction without writes, on condition that all rows are absent. Its conflict returns
// the rows that exist. Errors are those of Table.Commit; after any of them nothing is known about the rows.
func ExistingRows(ctx context.Context, table Table, id string, keys []string) ([]Row, error) {
	transaction := Transaction{WriteID: id, Across: true}
	for _, key := range keys {
		transaction.Conditions = append(transaction.Conditions, Condition{Key: key})
	}
	_, err := table.Commit(ctx, transaction)
	var conflict *ConflictError
	switch {
	case err == nil:
		return nil, nil
	case !errors.As(err, &conflict):
		return nil, err
	case len(keys) == 1:
		return []Row{conflict.Current}, nil
	case len(conflict.Rows) == 0:
		return nil, errors.Mark(errors.New("conflict without the rows of its conditions"), ErrUnknownOutcome)
	}
	return conflict.Rows, nil
}
