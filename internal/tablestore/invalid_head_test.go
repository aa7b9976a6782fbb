package tablestore_test

import (
	"testing"

	"github.com/pewtermill/pewtermill/internal/standin/rawanswer"
	"github.com/pewtermill/pewtermill/internal/tablestore"
)

// TestInvalidHeadIsNoReceipt checks that an answer of the table service with an invalid status or header name is no receipt.
func TestInvalidHeadIsNoReceipt(t *testing.T) {
	rawanswer.CheckClient(t, "{}", func(url string) error {
		_, err := tablestore.NewHTTP(url, nil).Commit(t.Context(), tablestore.Transaction{})
		return err
	})
}
