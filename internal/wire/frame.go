package wire

import (
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"github.com/pewtermill/pewtermill/internal/wire/wirepb"
)

// lengthBytes is the size of the length in front of every frame.
const lengthBytes = 4

// Causes for closing a connection.
var (
	errFrameTooLarge = errors.New("frame over the size limit")
	errBrokenFrame   = errors.New("frame cannot be decoded")
)

// encodeFrame returns the length prefix and the encoded frame.
func encodeFrame(frame *wirepb.Frame, maxBytes int) ([]byte, error) {
	size := proto.Size(frame)
	if size > maxBytes {
		return nil, errors.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, maxBytes)
	}
	encoded := make([]byte, lengthBytes, lengthBytes+size)
	encoded, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(encoded, frame)
	if err != nil {
		return nil, errors.Wrap(err, "encode frame")
	}
	binary.BigEndian.PutUint32(encoded, uint32(len(encoded)-lengthBytes))
	return encoded, nil
}

// readFrame reads one frame and returns it with its size on the wire in
// bytes. It allocates memory only as bytes arrive, so a false length prefix costs nothing.
func readFrame(reader io.Reader, maxBytes int) (*wirepb.Frame, int, error) {
	size, err := readLength(reader, maxBytes)
	if errors.Is(err, errFrameTooLarge) {
		return nil, lengthBytes, err
	}
	if err != nil {
		return nil, 0, err
	}
	return readContent(reader, size)
}

// readLength reads the length in front of a frame, in bytes. Errors: errFrameTooLarge, those of the reader.
func readLength(reader io.Reader, maxBytes int) (int, error) {
	var prefix [lengthBytes]byte
	if _, err := io.ReadFull(reader, prefix[:]); err != nil {
		return 0, err
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(maxBytes) {
		return 0, errors.Wrapf(errFrameTooLarge, "%d bytes, limit %d", size, maxBytes)
	}
	return int(size), nil
}

// readContent reads a frame behind its length, and returns it with its size on the wire in bytes.
func readContent(reader io.Reader, size int) (*wirepb.Frame, int, error) {
	body, err := readBody(reader, size)
	if err != nil {
		return nil, lengthBytes + len(body), err
	}
	frame := &wirepb.Frame{}
	if err := proto.Unmarshal(body, frame); err != nil {
		return nil, lengthBytes + len(body), errors.Mark(errors.Wrap(err, "decode frame"), errBrokenFrame)
	}
	return frame, lengthBytes + len(body), nil
}

// readBody reads size bytes, growing the buffer in steps for large sizes.
func readBody(reader io.Reader, size int) ([]byte, error) {
	const step = 64 << 10
	body := make([]byte, 0, min(size, step))
	for len(body) < size {
		received := len(body)
		chunk := min(size-received, max(step, received))
		body = append(body, make([]byte, chunk)...)
		read, err := io.ReadFull(reader, body[received:])
		if err != nil {
			return body[:received+read], errors.Mark(errors.Wrap(err, "frame truncated"), io.ErrUnexpectedEOF)
		}
	}
	return body, nil
}
