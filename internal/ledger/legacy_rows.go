package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// A build without tenants stores rows under the program's id alone. This file reads such rows.
// It can be removed once the retention time of turns has passed since the last node of such a build
// ended.

// errTenantUnknown reports that the tenant of a turn is unknown, since it was recorded without one.
var errTenantUnknown = errors.New("the turn was recorded by a build without tenants, for another program")

// turnWithoutTenant returns a turn of the program that a build without tenants recorded.
// The tenant of another program's turn cannot be determined, so for such a turn the result is neither the turn
// nor ErrNotFound. missing is the error to return if no build recorded the turn.
func (l *Ledger) turnWithoutTenant(ctx context.Context, e *entry, id string, read turnsRead, missing error) (*Turn, error) {
	tenant, program := splitProgram(e.program)
	if tenant == "" {
		return nil, missing
	}
	part, recordedBy, err := l.findTurn(ctx, program, id)
	switch {
	case errors.Is(err, tablestore.ErrNotFound):
		return nil, missing
	case err != nil:
		return nil, err
	case recordedBy != program:
		return nil, errors.Mark(errors.Wrapf(errTenantUnknown, "turn %s", id), tablestore.ErrUnavailable)
	}
	if err := l.load(ctx, e, part, program, read); err != nil {
		return nil, err
	}
	if turn, err := e.loadedOr(read, id); turn != nil || err != nil {
		return turn, err
	}
	return nil, errors.Mark(errors.Wrapf(errIndexedTurnMissing, "turn %s of program %s", id, program), tablestore.ErrUnavailable)
}

// legacyAccount is the account of a program as written by a build without tenants. The program's
// first write takes over its content, and removes it in the same transaction.
type legacyAccount struct {
	account  Account
	revision uint64 // 0: the row is absent, as far as this node knows
}

// legacyAccountKey returns the key of the account that a build without tenants would have
// written; legacy is false if that is the program's own key.
func (e *entry) legacyAccountKey(part int) (key string, legacy bool) {
	tenant, program := splitProgram(e.program)
	return accountKey(part, program), tenant != ""
}

// migrateLegacy extends a program's first write. The write becomes conditional on the legacy account being
// the one that this node has read, or absent, and it deletes that account. The mutex is held.
func (e *entry) migrateLegacy(part int, transaction *tablestore.Transaction) {
	key, hasTenant := e.legacyAccountKey(part)
	if !hasTenant || e.revision != 0 {
		return
	}
	transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: key, Revision: e.legacyAccount.revision})
	if e.legacyAccount.revision != 0 {
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: key, Delete: true})
	}
}

// observeLegacy stores the legacy account that made a program's first
// write fail. It reports false if the row is not that account's.
func (e *entry) observeLegacy(part int, row tablestore.Row) (bool, error) {
	key, hasTenant := e.legacyAccountKey(part)
	if !hasTenant || row.Key != key {
		return false, nil
	}
	account, err := decodeAccount(row)
	if err != nil {
		return true, errors.Wrap(err, "account without tenant")
	}
	existing := legacyAccount{account: account, revision: row.Revision}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.legacyAccount = existing
	return true, nil
}
