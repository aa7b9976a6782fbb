// Package wire carries messages between nodes: protobuf frames, each behind a
// 4-byte big-endian length, over TCP.
//
// A Client keeps one connection per peer address and multiplexes all requests
// to that peer over it by correlation id. A Server answers requests on the
// connections that other nodes opened. Both sides prove knowledge of the
// cluster key before the first request (see handshake.go). The key
// authenticates the peer; frames themselves are neither encrypted nor signed.
//
// Planned stop. A server that drains notifies its peers with a reply under correlation 0 and rejects
// the requests that they send from then on. The peers open no further streams on the connection and
// close it once all its streams have ended. A planned stop therefore leaves no outcome unknown.
//
// Outcome of a request. Every error of Client.Do and Client.Send satisfies
// errors.Is with exactly one of ErrNotSent and ErrLinkBroken. ErrNotSent means
// that no byte of the request was written to the socket, so the other side
// certainly did not receive it, or that a draining server rejected it without
// reading it. ErrLinkBroken means that bytes may have been sent and the outcome
// is unknown. If the caller's context ended, the error also satisfies errors.Is
// with that context's error. errors.Is is that of cockroachdb/errors here; the
// standard library's does not see these marks.
//
// Flow control. A stream of parts may have StreamWindowBytes in flight; the
// server side's onPart then blocks until the client side's onPart has
// consumed some of them. A slow consumer therefore slows only its own stream.
// Both sides read their sockets without ever waiting for a consumer or a handler.
// Each connection's send queue is bounded in bytes; a full queue blocks senders
// (until their context ends), not readers.
//
// Large frames. While a large frame is being received, no other frame can arrive on its connection. Each
// chunk of it extends the idle timeout of all requests that wait on the connection (package progress), and
// the connection does not count as unresponsive.
//
// Idle connections carry no pings: the heartbeats of the membership package are
// the traffic that detects a dead connection. The kernel ends connections whose data
// stays unacknowledged for DeadPeerTimeout and probes idle ones.
package wire
