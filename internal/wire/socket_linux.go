package wire

import (
	"net"

	"golang.org/x/sys/unix"
)

// setDeadPeerTimeout makes the kernel end the connection when sent data stays
// unacknowledged for DeadPeerTimeout.
func setDeadPeerTimeout(conn *net.TCPConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var optionErr error
	err = raw.Control(func(descriptor uintptr) {
		millis := int(DeadPeerTimeout.Milliseconds())
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, millis)
	})
	if err != nil {
		return err
	}
	return optionErr
}
