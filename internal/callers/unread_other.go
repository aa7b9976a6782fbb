//go:build !linux

package callers

import "net"

// hasUnread is not supported on this system, and returns false.
func hasUnread(net.Conn) bool { return false }
