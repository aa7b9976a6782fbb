//go:build !linux

package wire

import "net"

// setDeadPeerTimeout does nothing here: the kernel's default timeouts apply.
func setDeadPeerTimeout(*net.TCPConn) error { return nil }
