package wire

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"io"
	"net"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// The handshake has three frames, all Hello:
//
//	dialer:   node, protocol, nonce
//	listener: node, protocol, nonce, proof
//	dialer:   proof
//
// A proof is an HMAC-SHA256 with the cluster key over the prover's role, the
// protocol version, both nonces and both names, each with its length, so a
// proof cannot be replayed on another connection or reflected to its sender.

const nonceBytes = 32

// Roles that a proof covers.
const (
	roleDialer   = "dialer"
	roleListener = "listener"
)

// Reasons to reject a peer.
var (
	errWrongKey      = errors.New("peer does not have the cluster key")
	errWrongProtocol = errors.New("peer uses another protocol version")
	errBadHello      = errors.New("peer sent an invalid hello")
	errPartitioned   = errors.New("link partitioned by fault injection")
)

// transcript is what both proofs of one handshake cover.
type transcript struct {
	dialer, listener *wirepb.Hello
}

// proof computes the proof of one role.
func (t transcript) proof(key []byte, role string) []byte {
	mac := hmac.New(sha256.New, key)
	writeField(mac, []byte(role))
	writeField(mac, binary.BigEndian.AppendUint32(nil, ProtocolVersion))
	writeField(mac, t.dialer.GetNonce())
	writeField(mac, t.listener.GetNonce())
	writeField(mac, []byte(t.dialer.GetNode()))
	writeField(mac, []byte(t.listener.GetNode()))
	return mac.Sum(nil)
}

// writeField adds a field behind its length, so that field boundaries are unambiguous.
func writeField(mac io.Writer, field []byte) {
	mac.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
	mac.Write(field)
}

// dialHandshake performs the dialer's side of the mutual authentication and
// returns the remote node's name.
func dialHandshake(conn net.Conn, options Options, traffic *traffic) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	own := newHello(options.Node)
	if err := writeHello(conn, own, traffic); err != nil {
		return "", err
	}
	remote, err := readHello(conn, traffic)
	if err != nil {
		return "", err
	}
	if err := blockIfPartitioned(conn, options.Fault, remote.GetNode()); err != nil {
		return "", err
	}
	if err := checkHello(remote); err != nil {
		return "", err
	}
	session := transcript{dialer: own, listener: remote}
	if !hmac.Equal(remote.GetProof(), session.proof(options.ClusterKey, roleListener)) {
		return "", errWrongKey
	}
	answer := &wirepb.Hello{Proof: session.proof(options.ClusterKey, roleDialer)}
	if err := writeHello(conn, answer, traffic); err != nil {
		return "", err
	}
	return remote.GetNode(), conn.SetDeadline(time.Time{})
}

// acceptHandshake is the listener's side of dialHandshake. It sends its own proof
// first; that proof is bound to the dialer's fresh nonce and useless elsewhere.
func acceptHandshake(conn net.Conn, options Options, traffic *traffic) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return "", err
	}
	remote, err := readHello(conn, traffic)
	if err != nil {
		return "", err
	}
	if err := blockIfPartitioned(conn, options.Fault, remote.GetNode()); err != nil {
		return "", err
	}
	own := newHello(options.Node)
	session := transcript{dialer: remote, listener: own}
	own.Proof = session.proof(options.ClusterKey, roleListener)
	if err := writeHello(conn, own, traffic); err != nil {
		return "", err
	}
	if err := checkHello(remote); err != nil {
		return "", err
	}
	answer, err := readHello(conn, traffic)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(answer.GetProof(), session.proof(options.ClusterKey, roleDialer)) {
		return "", errWrongKey
	}
	return remote.GetNode(), conn.SetDeadline(time.Time{})
}

// newHello returns the opening hello of one side.
func newHello(node string) *wirepb.Hello {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // never returns an error; the process ends instead
	return &wirepb.Hello{Node: node, Nonce: nonce, Protocol: ProtocolVersion}
}

// checkHello rejects another protocol version and a nonce of the wrong size.
func checkHello(hello *wirepb.Hello) error {
	if hello.GetProtocol() != ProtocolVersion {
		return errors.Wrapf(errWrongProtocol, "version %d, own %d", hello.GetProtocol(), ProtocolVersion)
	}
	if len(hello.GetNonce()) != nonceBytes {
		return errors.Wrap(errBadHello, "nonce of wrong size")
	}
	return nil
}

func writeHello(conn net.Conn, hello *wirepb.Hello, traffic *traffic) error {
	frame := &wirepb.Frame{Body: &wirepb.Frame_Hello{Hello: hello}}
	encoded, err := encodeFrame(frame, maxHandshakeBytes)
	if err != nil {
		return err
	}
	written, err := conn.Write(encoded)
	traffic.addSent(written)
	return err
}

func readHello(conn net.Conn, traffic *traffic) (*wirepb.Hello, error) {
	frame, size, err := readFrame(conn, maxHandshakeBytes)
	traffic.addReceived(size)
	if err != nil {
		return nil, err
	}
	hello := frame.GetHello()
	if hello == nil {
		return nil, errBadHello
	}
	return hello, nil
}

// blockIfPartitioned blocks a handshake with a partitioned peer until its deadline
// or until the peer closes the connection, as an unplugged cable would.
func blockIfPartitioned(conn net.Conn, faults *Faults, node string) error {
	if !faults.drops(node) {
		return nil
	}
	_, _ = io.Copy(io.Discard, conn)
	return errors.Wrapf(errPartitioned, "node %s", node)
}
