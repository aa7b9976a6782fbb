package ledger

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// errAccountCorrupt says that an account's row makes no sense.
var errAccountCorrupt = errors.New("the row of an account makes no sense")

// errAccountNewer says that a later build wrote an account, and that this one cannot write it.
var errAccountNewer = errors.New("the row of an account needs a later build")

// decodeAccount reads an account's row; one that is absent is an empty account. What makes no
// sense covers no turn: tokens below 0 would be handed out beyond the budget. Nor does a row that needs what this
// build does not know, which stays as it is.
func decodeAccount(row tablestore.Row) (Account, error) {
	if row.Revision == 0 {
		return Account{}, nil
	}
	var account Account
	if err := json.Unmarshal(row.Value, &account); err != nil {
		return Account{}, errors.Mark(errors.Wrap(err, "decode account"), errAccountCorrupt)
	}
	if len(account.Needs) > 0 {
		return Account{}, errors.Wrapf(errAccountNewer, "%q", account.Needs)
	}
	if account.Budget < 0 || account.Least < 0 || account.Spent < 0 {
		return Account{}, errors.Wrap(errAccountCorrupt, "tokens below 0")
	}
	sum := account.Spent
	for _, allowance := range account.Allowances {
		if allowance.Tokens < 0 || sum > math.MaxInt64-allowance.Tokens {
			return Account{}, errors.Wrap(errAccountCorrupt, "an allowance below 0 or too large")
		}
		sum += allowance.Tokens
	}
	return account, nil
}
