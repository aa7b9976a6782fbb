package callers

import (
	"math"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// errNoSocket says that a listener has no socket of the system's.
var errNoSocket = errors.New("the listener has no socket")

// Of a TCP header, by RFC 9293.
const (
	flagsOffset = 13   // of the byte with its flags
	synFlag     = 0x02 // of a packet that asks for a connection
)

// withoutRequests is a filter of packets, in the classic language of the kernel's socket filters, that
// drops those that ask for a connection.
var withoutRequests = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: flagsOffset},
	{Code: unix.BPF_JMP | unix.BPF_JSET | unix.BPF_K, Jt: 0, Jf: 1, K: synFlag},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0}, // nothing of it is kept
	{Code: unix.BPF_RET | unix.BPF_K, K: math.MaxUint32},
}

// refuseRequests has the kernel make no connection more for a listener. Those that it has made, or is
// making, can still be accepted. It drops what asks for one; its caller asks again a second later, and is
// refused then.
func refuseRequests(open net.Listener) error {
	return withDescriptor(open, func(descriptor int) error {
		program := unix.SockFprog{Len: uint16(len(withoutRequests)), Filter: &withoutRequests[0]}
		return unix.SetsockoptSockFprog(descriptor, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &program)
	})
}

// hasWaiting reports whether a connection waits to be accepted.
func hasWaiting(open net.Listener) bool {
	waits := false
	err := withDescriptor(open, func(descriptor int) error {
		polled := []unix.PollFd{{Fd: int32(descriptor), Events: unix.POLLIN}}
		ready, err := unix.Poll(polled, 0)
		waits = ready > 0
		return err
	})
	return err == nil && waits
}

// withDescriptor calls a function with a listener's socket.
func withDescriptor(open net.Listener, use func(descriptor int) error) error {
	socket, is := open.(syscall.Conn)
	if !is {
		return errNoSocket
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	var used error
	err = raw.Control(func(descriptor uintptr) { used = use(int(descriptor)) })
	return errors.CombineErrors(err, used)
}
