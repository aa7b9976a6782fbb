//go:build !linux

package wire

import "net"

// setDeadPeerTimeout is left to the kernel's own timeouts here.
func setDeadPeerTimeout(*net.TCPConn) error { return nil }
