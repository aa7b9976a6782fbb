// Package wire carries messages between nodes: protobuf frames, each behind a
// 4-byte big-endian length, over TCP.
//
// A Client keeps one connection per peer address and multiplexes all requests
// to that peer over it by correlation id. A Server answers requests on the
// connections that other nodes opened. Both sides prove knowledge of the
// cluster key before the first request (see handshake.go). The key
// authenticates the peer; frames themselves are neither encrypted nor signed.
//
// Planned stop. A server that drains tells its peers, by a reply under
// correlation 0, to go elsewhere, and refuses what they send from then on. They
// open no stream on the connection any more, and end it once all on it are
// answered. So a planned stop leaves no outcome unknown.
//
// Outcome of a request. Every error of Client.Do and Client.Send satisfies
// errors.Is with exactly one of ErrNotSent and ErrLinkBroken. ErrNotSent means
// that no byte of the request was handed to the socket, so the other side
// certainly did not see it, or that a draining server refused it unread.
// ErrLinkBroken means that bytes may have left and
// the outcome is unknown. If the caller's context ended, the error satisfies
// errors.Is with that context's error as well. errors.Is is that of
// cockroachdb/errors here; the standard library's does not see these marks.
//
// Flow control. A stream of parts may have StreamWindowBytes in flight; the
// answering side's onPart then blocks until the asking side's onPart has
// consumed some. A slow consumer therefore slows only its own stream. Both
// sides read their sockets without ever waiting for a consumer or a handler.
// Each connection's send queue is bounded in bytes; a full queue makes senders
// wait (until their context ends), not readers.
//
// Large frames. While one arrives nothing else can come on its connection. Each piece of it extends the
// time of all who wait there and bound it by silence (package progress), and the connection is not
// taken for a silent one.
//
// Idle connections carry no pings: heartbeats of the membership package are
// the traffic that finds a dead link. The kernel ends connections whose data
// stays unacknowledged for DeadPeerTimeout and probes idle ones.
package wire
