package peertest

import (
	"context"
	"errors"
	"io"
	"sync"

	"google.golang.org/protobuf/proto"

	"github.com/bilberryline/bilberryline/internal/event"
	"github.com/bilberryline/bilberryline/internal/peer"
)

// Node is a host in a Network. It implements peer.Caller.
type Node struct {
	id     string
	net    *Network
	hybrid *event.HybridClock

	mu       sync.Mutex
	handlers map[peer.Method]peer.Handler
	stopped  chan struct{}
}

// Node adds a node. It replaces a node with the same id by a new one without handlers.
func (n *Network) Node(id string) *Node {
	node := &Node{
		id:       id,
		net:      n,
		hybrid:   event.NewHybridClock(n.clock),
		handlers: map[peer.Method]peer.Handler{},
		stopped:  make(chan struct{}),
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[id] = node
	return node
}

// Handle registers the handler of a method.
func (n *Node) Handle(m peer.Method, h peer.Handler) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.handlers[m] = h
}

// Stop breaks all exchanges of the node and makes it unreachable, as if its process had been killed.
func (n *Node) Stop() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.isStopped() {
		close(n.stopped)
	}
}

func (n *Node) isStopped() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

func (n *Node) handler(m peer.Method) peer.Handler {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.handlers[m]
}

// Open implements peer.Caller.
func (n *Node) Open(ctx context.Context, host string, m peer.Method) (peer.Stream, error) {
	other := n.net.node(host)
	if other == nil {
		return nil, &peer.UnreachableError{Host: host, Err: peer.ErrUnknownHost}
	}
	if _, fails := n.net.linkState(pair{n.id, host}); fails || other.isStopped() || n.isStopped() {
		return nil, &peer.UnreachableError{Host: host, Err: io.ErrClosedPipe}
	}
	h := other.handler(m)
	if h == nil {
		return nil, &peer.UnreachableError{Host: host, Err: peer.ErrNoHandler}
	}
	near, far := newStreams(n, other)
	go func() {
		handlerCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
		defer cancel()
		h(handlerCtx, far)
		_ = far.Close()
	}()
	return near, nil
}

// Call implements peer.Caller.
func (n *Node) Call(ctx context.Context, host string, m peer.Method, req, resp proto.Message) error {
	s, err := n.Open(ctx, host, m)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.(*stream).abort)
	defer stop()
	defer s.Close()
	if err = s.Send(req); err == nil {
		err = s.Recv(resp)
	}
	if errors.Is(err, io.EOF) {
		return &peer.BrokenError{Host: host, Err: peer.ErrNoResponse}
	}
	if err != nil && ctx.Err() != nil {
		return &peer.BrokenError{Host: host, Err: ctx.Err()}
	}
	return err
}
