package peer

import (
	"io"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/peer/peerpb"
)

// protocolVersion is raised with each change that older hosts can't read.
const protocolVersion = 1

// maxHelloSize is the largest hello frame in bytes.
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
	w := newFramer(c, maxHelloSize, n.cfg.HybridClock)
	if err := w.appendMessage(frameHello, n.newHello(want)); err != nil {
		return err
	}
	_, err := w.flush()
	return err
}

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

// clientHandshake runs the dialling side of the hello exchange.
func (n *Node) clientHandshake(c io.ReadWriter, want string) (*peerpb.Hello, error) {
	if err := n.sendHello(c, want); err != nil {
		return nil, err
	}
	m, err := n.recvHello(c)
	if err != nil {
		return nil, err
	}
	if m.Host != want {
		return nil, &IdentityError{Want: want, Got: m.Host}
	}
	return m, nil
}

// serverHandshake runs the accepting side of the hello exchange. A host that was dialled for another id
// still answers with its own, so that the dialling side can name the mistake.
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
