package peer

import (
	"encoding/binary"

	"github.com/bilberryline/bilberryline/internal/event"
)

type frameKind uint8

const (
	// frameOpen starts an exchange. Its payload is the method.
	frameOpen frameKind = iota + 1
	// frameCall starts an exchange with one request and one response. Its payload is the method.
	frameCall
	// frameMessage carries one protobuf message.
	frameMessage
	// frameEnd is the sender's last frame in an exchange.
	frameEnd
	// frameRefused replaces frameEnd when no handler was started. Its payload is one byte, the reason.
	frameRefused
	// frameHello carries a Hello message. It is sent once in each direction of a connection.
	frameHello
)

// Reasons in the payload of frameRefused.
const (
	refusedNoHandler byte = iota + 1
	refusedClosing
)

// frameHeaderSize is the encoded size of a frameHeader in bytes: kind, payload size, wall and logical time.
const frameHeaderSize = 1 + 4 + 8 + 4

type frameHeader struct {
	kind  frameKind
	size  int // payload bytes
	stamp event.Stamp
}

func appendFrameHeader(b []byte, h frameHeader) []byte {
	b = append(b, byte(h.kind))
	b = binary.BigEndian.AppendUint32(b, uint32(h.size))
	b = binary.BigEndian.AppendUint64(b, uint64(h.stamp.Wall))
	return binary.BigEndian.AppendUint32(b, h.stamp.Logical)
}

func parseFrameHeader(b []byte) frameHeader {
	return frameHeader{
		kind: frameKind(b[0]),
		size: int(binary.BigEndian.Uint32(b[1:])),
		stamp: event.Stamp{
			Wall:    int64(binary.BigEndian.Uint64(b[5:])),
			Logical: binary.BigEndian.Uint32(b[13:]),
		},
	}
}
