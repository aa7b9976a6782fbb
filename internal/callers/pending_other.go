//go:build !linux

package callers

import (
	"net"

	"github.com/cockroachdb/errors"
)

// dropConnectionRequests is not supported on this system, and returns an error.
func dropConnectionRequests(net.Listener) error {
	return errors.New("new connections cannot be blocked on this system")
}

// hasPending is not supported on this system, and returns false.
func hasPending(net.Listener) bool { return false }
