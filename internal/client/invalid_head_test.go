package client_test

import (
	"testing"

	"github.com/pewtermill/pewtermill/internal/client"
	"github.com/pewtermill/pewtermill/internal/standin/rawanswer"
)

// TestInvalidHeadIsNoResponse checks that a node's answer with an invalid status or header name is no response.
func TestInvalidHeadIsNoResponse(t *testing.T) {
	rawanswer.CheckClient(t, "{}", func(url string) error {
		_, err := client.New(url, "key").Program(t.Context(), "p")
		return err
	})
}
