// Package wirepb holds the messages between nodes, generated from wire.proto.
// Frames, handshake and streams around them are in package wire.
package wirepb
