package backend_test

import (
	"testing"

	"github.com/pewtermill/pewtermill/internal/backend"
	"github.com/pewtermill/pewtermill/internal/standin/rawanswer"
)

// TestInvalidHeadIsNoResult checks that a tool's answer with an invalid status or header name is no result.
func TestInvalidHeadIsNoResult(t *testing.T) {
	rawanswer.CheckClient(t, "{}", func(url string) error {
		_, err := backend.NewToolClient(url, nil).Run(t.Context(), backend.ToolRequest{})
		return err
	})
}
