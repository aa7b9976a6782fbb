package soak

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/backoff"
	"github.com/pewtermill/pewtermill/internal/standin/loopback"
	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// Limits of a forwarder.
const (
	forwardChunk       = 64 << 10 // bytes forwarded at once
	maxHello           = 64 << 10 // bytes of a connection's first frame
	helloTimeout       = 5 * time.Second
	dialTimeout        = time.Second
	resetCheckInterval = 20 * time.Millisecond // between two checks whether a direction resets connections
)

// forwarder forwards connections from the address where peers reach a process to the process itself. The first frame
// of a connection names the sender. Bytes of a blackholed direction are held back, as they are after packet loss.
type forwarder struct {
	links    *links
	node     string // process that it forwards to
	from, to string // addresses

	mutex    sync.Mutex
	listener net.Listener // nil while the process does not run
}

func newForwarder(l *links, node, from, to string) *forwarder {
	return &forwarder{links: l, node: node, from: from, to: to}
}

// listen starts to accept connections. The forwarder must be closed, or never have been opened.
func (f *forwarder) listen() error {
	listener, err := loopback.ListenAgain(f.from)
	if err != nil {
		return errors.Wrapf(err, "listen for peers of %s", f.node)
	}
	f.mutex.Lock()
	f.listener = listener
	f.mutex.Unlock()
	go func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return // closed
			}
			go f.forward(accepted.(*net.TCPConn))
		}
	}()
	return nil
}

// close rejects new connections; existing ones end with their process.
func (f *forwarder) close() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.listener != nil {
		_ = f.listener.Close()
		f.listener = nil
	}
}

// forward forwards one connection until either side or a fault ends it.
func (f *forwarder) forward(inbound *net.TCPConn) {
	defer inbound.Close()
	hello, sender, err := readHello(inbound)
	if err != nil {
		return // closed before the first frame
	}
	dialed, err := net.DialTimeout("tcp4", f.to, dialTimeout)
	if err != nil {
		return // the process has just exited, or is starting
	}
	outbound := dialed.(*net.TCPConn)
	defer outbound.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	forward, backward := linkDirection{sender, f.node}, linkDirection{f.node, sender}
	go func() {
		defer cancel()
		if f.links.waitToPass(ctx, forward) {
			if _, err := outbound.Write(hello); err == nil {
				f.pump(ctx, outbound, inbound, forward)
			}
		}
	}()
	go func() {
		defer cancel()
		f.pump(ctx, inbound, outbound, backward)
	}()
	for backoff.Wait(ctx, resetCheckInterval) {
		if f.links.has(forward, LinkReset) {
			reset(inbound)
			reset(outbound)
		}
	}
}

// pump copies bytes in one direction until the connection ends.
func (f *forwarder) pump(ctx context.Context, to io.Writer, from io.Reader, direction linkDirection) {
	buffer := make([]byte, forwardChunk)
	for {
		size, err := from.Read(buffer)
		if !f.links.waitToPass(ctx, direction) || err != nil { // a blackholed direction does not pass the close on, either
			return
		}
		if _, err := to.Write(buffer[:size]); err != nil {
			return
		}
	}
}

// readHello reads a connection's first frame and returns it with the name of its sender.
func readHello(from *net.TCPConn) (frame []byte, node string, err error) {
	if err := from.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return nil, "", errors.Wrap(err, "set the deadline for the hello")
	}
	var length [4]byte
	if _, err := io.ReadFull(from, length[:]); err != nil {
		return nil, "", errors.Wrap(err, "read the length of the hello")
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxHello {
		return nil, "", errors.Newf("hello of %d bytes exceeds the limit", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(from, body); err != nil {
		return nil, "", errors.Wrap(err, "read the hello")
	}
	var decoded wirepb.Frame
	if err := proto.Unmarshal(body, &decoded); err != nil {
		return nil, "", errors.Wrap(err, "decode the hello")
	}
	return append(length[:], body...), decoded.GetHello().GetNode(), from.SetReadDeadline(time.Time{})
}

// reset closes a connection at once; unread data is lost.
func reset(connection *net.TCPConn) {
	_ = connection.SetLinger(0) // it may have ended
	_ = connection.Close()
}
