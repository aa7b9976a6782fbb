// Package loopback reserves loopback addresses for stand-ins and tests.
package loopback

import (
	"context"
	"net"
	"net/netip"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/backoff"
)

// Address is a reserved loopback address. The system assigns it to nobody else, also while its owner does not listen on it:
// connections are refused then, and a server that restarts at its address finds the port free.
type Address struct {
	socket  *os.File // bound, never listening
	address netip.AddrPort
}

// Reserve reserves a free loopback address until Close. It returns an error if the system has no free port or file
// descriptor.
func Reserve() (*Address, error) {
	socket, err := newSocket()
	if err != nil {
		return nil, err
	}
	address, err := bindToFreePort(socket)
	if err != nil {
		return nil, errors.CombineErrors(err, socket.Close())
	}
	return &Address{socket: socket, address: address}, nil
}

// newSocket returns an unbound TCP socket.
func newSocket() (*os.File, error) {
	descriptor, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, errors.Wrap(err, "create a socket")
	}
	return os.NewFile(uintptr(descriptor), "tcp"), nil
}

// bindToFreePort binds a socket to a free loopback port. It allows listeners of package net to use that port as well.
func bindToFreePort(socket *os.File) (netip.AddrPort, error) {
	descriptor := int(socket.Fd())
	if err := syscall.SetsockoptInt(descriptor, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "allow sharing the address")
	}
	if err := syscall.Bind(descriptor, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "bind to a free port")
	}
	bound, err := syscall.Getsockname(descriptor)
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "read the address")
	}
	address, ok := bound.(*syscall.SockaddrInet4)
	if !ok {
		return netip.AddrPort{}, errors.Newf("bound to an address of type %T", bound)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(address.Addr), uint16(address.Port)), nil
}

// String returns the address as host:port.
func (r *Address) String() string { return r.address.String() }

// Listen returns a listener on the address. It returns an error if another one stays open for inUseBound.
func (r *Address) Listen() (net.Listener, error) {
	listener, err := ListenAgain(r.String())
	return listener, errors.Wrap(err, "listen on the reserved address")
}

// Times of ListenAgain.
const (
	inUseBound        = 10 * time.Second // for children to execute their programs on a busy machine
	inUsePollInterval = time.Millisecond
)

// ListenAgain returns a listener on an address where this process may just have closed another one. A child that starts has copies of
// all sockets until the system has closed them while it executes its program, so the address may still be in use: ListenAgain tries again
// for inUseBound. After that it returns the error of the last try.
func ListenAgain(address string) (net.Listener, error) {
	ctx, cancel := context.WithTimeout(context.Background(), inUseBound)
	defer cancel()
	for {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || !backoff.Wait(ctx, inUsePollInterval) {
			return listener, errors.Wrap(err, "listen again")
		}
	}
}

// Close ends the reservation; a listener on the address stays open. It returns os.ErrClosed the second time.
func (r *Address) Close() error {
	return errors.Wrap(r.socket.Close(), "close the reservation")
}

// IsFree reports whether the system would assign an address to a socket that asks for any free port: whether one that
// shares addresses with no other can be bound to it.
func IsFree(address string) (bool, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return false, errors.Wrap(err, "parse the address")
	}
	socket, err := newSocket()
	if err != nil {
		return false, err
	}
	defer socket.Close()
	err = syscall.Bind(int(socket.Fd()), &syscall.SockaddrInet4{Port: int(parsed.Port()), Addr: parsed.Addr().As4()})
	if errors.Is(err, syscall.EADDRINUSE) {
		return false, nil
	}
	return err == nil, errors.Wrap(err, "bind")
}
