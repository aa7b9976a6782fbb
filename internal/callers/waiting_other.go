//go:build !linux

package callers

import (
	"net"

	"github.com/cockroachdb/errors"
)

// refuseRequests is for systems that can keep connections from being made.
func refuseRequests(net.Listener) error {
	return errors.New("connections cannot be kept from being made")
}

// hasWaiting is for systems that can tell whether a connection waits.
func hasWaiting(net.Listener) bool { return false }
