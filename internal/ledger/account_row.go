package ledger

import (
	"encoding/json"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// errAccountCorrupt reports that an account's row is malformed.
var errAccountCorrupt = errors.New("malformed account row")

// errAccountNewer reports that a newer build wrote an account, and that this build cannot write it.
var errAccountNewer = errors.New("account row requires a newer build")

// decodeAccount reads an account's row; an absent row is an empty account. A malformed row is an error, and covers
// no turn: tokens below 0 would let nodes use more than the budget. A row that requires features unknown to this
// build is an error too, and is left as it is.
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
	if account.Budget < 0 || account.Least < 0 || account.Spent < 0 || account.RetentionMillis < 0 {
		return Account{}, errors.Wrap(errAccountCorrupt, "negative number of tokens, or retention")
	}
	sum := account.Spent
	for _, allowance := range account.Allowances {
		if allowance.Begun < 0 || allowance.Charged < 0 {
			return Account{}, errors.Wrap(errAccountCorrupt, "negative number of tokens of an allowance")
		}
		if allowance.Tokens < 0 || sum > math.MaxInt64-allowance.Tokens {
			return Account{}, errors.Wrap(errAccountCorrupt, "allowance negative or too large")
		}
		sum += allowance.Tokens
	}
	return account, nil
}
