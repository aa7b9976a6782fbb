package ledger

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// Rows of a build that knew no tenants stand under their program's id alone. They are read
// for as long as turns are kept after the last node of such a build has ended; nothing here
// is needed any more then.

// errTenantUnknown says that a turn was recorded without the tenant whose it is.
var errTenantUnknown = errors.New("the turn was recorded by a build that knew no tenants, for another program")

// turnWithoutTenant returns a turn of the program that a build without tenants recorded.
// Whose a turn of another program is cannot be told, so that the answer is neither the turn
// nor that there is none. missing is the error if no build recorded it.
func (l *Ledger) turnWithoutTenant(ctx context.Context, e *entry, id string, missing error) (*Turn, error) {
	tenant, program := splitProgram(e.program)
	if tenant == "" {
		return nil, missing
	}
	part, said, err := l.find(ctx, program, id)
	switch {
	case errors.Is(err, tablestore.ErrNotFound):
		return nil, missing
	case err != nil:
		return nil, err
	case said != program:
		return nil, errors.Mark(errors.Wrapf(errTenantUnknown, "turn %s", id), tablestore.ErrUnavailable)
	}
	if err := l.load(ctx, e, part, program); err != nil {
		return nil, err
	}
	if turn, err := e.loadedTurn(id); turn != nil || err != nil {
		return turn, err
	}
	return nil, missing
}

// precedent is the account of a program as a build without tenants left it. A program's
// first write takes it over, and removes it with the same transaction.
type precedent struct {
	account  Account
	revision uint64 // 0: the row is absent, as far as is known
}

// tenantlessKey returns the key of the account that a build without tenants would have
// written; ok is false if the program's own key is that.
func (e *entry) tenantlessKey(part int) (key string, ok bool) {
	tenant, program := splitProgram(e.program)
	return accountKey(part, program), tenant != ""
}

// takeOver extends a program's first write: its condition is also that no account without a
// tenant stands in the table but the one that is known, which it removes. The mutex is held.
func (e *entry) takeOver(part int, transaction *tablestore.Transaction) {
	key, tenanted := e.tenantlessKey(part)
	if !tenanted || e.revision != 0 {
		return
	}
	transaction.Conditions = append(transaction.Conditions, tablestore.Condition{Key: key, Revision: e.precedent.revision})
	if e.precedent.revision != 0 {
		transaction.Writes = append(transaction.Writes, tablestore.Write{Key: key, Delete: true})
	}
}

// observePrecedent takes notice of the account without a tenant that made a program's first
// write fail. It reports false if the row is not that account's.
func (e *entry) observePrecedent(part int, row tablestore.Row) (bool, error) {
	key, tenanted := e.tenantlessKey(part)
	if !tenanted || row.Key != key {
		return false, nil
	}
	account, err := decodeAccount(row)
	if err != nil {
		return true, errors.Wrap(err, "account without tenant")
	}
	found := precedent{account: account, revision: row.Revision}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.precedent = found
	return true, nil
}
