package peer

import (
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/peer/peerpb"
)

// protocolVersion is incremented with each incompatible change of the protocol.
const protocolVersion = 1

// maxHelloSize is the maximum payload size of a hello frame in bytes.
const maxHelloSize = 4 << 10

func (n *Node) newHello(want string) *peerpb.Hello {
	return &peerpb.Hello{
		Version:     protocolVersion,
		Host:        n.cfg.Self,
		Incarnation: n.cfg.Incarnation,
		Want:        want,
	}
}

func (n *Node) sendHello(c io.ReadWriter, want string) error {
	f := newFramer(c, maxHelloSize, n.cfg.HybridClock)
	if err := f.appendMessage(frameHello, n.newHello(want)); err != nil {
		return err
	}
	_, err := f.flush()
	return err
}

// recvHello reads exactly one hello frame, without buffering bytes beyond it, and checks its version.
func (n *Node) recvHello(c io.ReadWriter) (*peerpb.Hello, error) {
	var b [frameHeaderSize]byte
	if _, err := io.ReadFull(c, b[:]); err != nil {
		return nil, err
	}
	h := parseFrameHeader(b[:])
	if h.kind != frameHello {
		return nil, &ProtocolError{Reason: "no hello"}
	}
	if h.size > maxHelloSize {
		return nil, &FrameSizeError{Size: h.size, Limit: maxHelloSize}
	}
	payload := make([]byte, h.size)
	if _, err := io.ReadFull(c, payload); err != nil {
		return nil, err
	}
	n.cfg.HybridClock.Observe(h.stamp)
	m := &peerpb.Hello{}
	if err := proto.Unmarshal(payload, m); err != nil {
		return nil, err
	}
	if m.Version != protocolVersion {
		return nil, &ProtocolError{Reason: "other protocol version"}
	}
	return m, nil
}

// clientHandshake performs the dialling side's part of the handshake and checks the other host's id.
func (n *Node) clientHandshake(c io.ReadWriter, want string) error {
	if err := n.sendHello(c, want); err != nil {
		return err
	}
	m, err := n.recvHello(c)
	if err != nil {
		return err
	}
	if m.Host != want {
		return &IdentityError{Want: want, Got: m.Host}
	}
	return nil
}

// serverHandshake performs the accepting side's part of the handshake. A host that was dialled under another
// id still replies with its own id, so that the dialling side can report the mismatch.
func (n *Node) serverHandshake(c io.ReadWriter) (*peerpb.Hello, error) {
	m, err := n.recvHello(c)
	if err != nil {
		return nil, err
	}
	if err = n.sendHello(c, m.Host); err != nil {
		return nil, err
	}
	if m.Want != n.cfg.Self {
		return nil, &IdentityError{Want: m.Want, Got: n.cfg.Self}
	}
	return m, nil
}
