package callers

import (
	"net"
	"syscall"
)

// hasUnread reports whether bytes have arrived on a connection that have not been read. It does not
// consume them.
func hasUnread(open net.Conn) bool {
	socket, ok := open.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // already closed
	}
	available := 0
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		available, _, err = syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && available > 0
}
