package callers

import (
	"math"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNoSocket reports that a listener is not backed by a socket of the operating system.
var errNoSocket = errors.New("the listener has no socket")

// Constants of the TCP header, see RFC 9293.
const (
	flagsOffset = 13   // offset of the byte with the flags
	synFlag     = 0x02 // set in packets that request a connection
)

// dropSYN is a packet filter, in the kernel's classic BPF, that drops the packets that request a
// connection.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: synFlag},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0}, // drops the packet
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
}

// dropConnectionRequests makes the kernel drop requests for new connections to a listener. Connections
// that are established, or whose handshake is in progress, can still be accepted. A client whose request
// is dropped sends it again a second later, and is refused then.
func dropConnectionRequests(open net.Listener) error {
	return withDescriptor(open, func(descriptor int) error {
		program := unix.SockFprog{Len: uint16(len(dropSYN)), Filter: &dropSYN[0]}
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// hasPending reports whether a connection waits to be accepted.
func hasPending(open net.Listener) bool {
	pending := false
	err := withDescriptor(open, func(descriptor int) error {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, err := unix.Poll(polled, 0)
		pending = ready > 0
		return err
	})
	return err == nil && pending
}

// withDescriptor calls a function with the file descriptor of a listener's socket.
func withDescriptor(open net.Listener, use func(descriptor int) error) error {
	socket, ok := open.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var useErr error
	err = raw.Control(func(descriptor uintptr) { useErr = use(int(descriptor)) })
	return errors.CombineErrors(err, useErr)
}
