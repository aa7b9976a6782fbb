package callers

import (
	"net"
	"syscall"
)

// hasUnread reports whether bytes have come on a connection that nobody has read. It takes
// none of them.
func hasUnread(open net.Conn) bool {
	socket, is := open.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false // closed already
	}
	waiting := 0
	err = raw.Control(func(descriptor uintptr) {
		var first [1]byte
		waiting, _, err = syscall.Recvfrom(int(descriptor), first[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && waiting > 0
}
