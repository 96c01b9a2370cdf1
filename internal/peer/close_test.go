package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// slowNotifyConn is a connection. Once armed is closed, writes of data frames send their bytes but return only when the
// connection is closed.
type slowNotifyConn struct {
	*net.TCPConn
	armed, closed chan struct{}
}

func (c *slowNotifyConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	select {
	case <-c.armed:
		if b[1] == muxTypeData {
			<-c.closed
		}
	default:
	}
	return n, err
}

func (c *slowNotifyConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.TCPConn.Close()
}

// dialRaw opens a session from a to the address of b on a connection that wrap returns.
func dialRaw(t *testing.T, a *Node, address string, wrap func(*net.TCPConn) net.Conn) *session {
	t.Helper()
	is := is.New(t)
	raw, err := net.Dial("tcp", address)
	is.NoErr(err)
	c := newConn(wrap(raw.(*net.TCPConn)), a)
	is.NoErr(a.clientHandshake(c, "b"))
	s, err := a.newSession("b", c, true)
	is.NoErr(err)
	t.Cleanup(s.close)
	return s
}

// callOn makes a call on a session, as Node.Call does on the session of a link.
func callOn(s *session, m Method, req, resp proto.Message) error {
	s.active.Add(1)
	e, err := s.beginExchange(m, frameCall)
	if err != nil {
		return err
	}
	defer e.onEnd(e)
	return e.call(req, resp)
}

// A host that stops ends its session right after the last response. The goroutine that sent the request may learn only
// then that its write has ended, and yamux reports either the write or the end of the session.
func TestResponseBeforeEndOfSessionIsReturned(t *testing.T) {
	is := is.New(t)
	addresses := &addressBook{}
	a := newTestNode(t, addresses, "a", clock.System{})
	for range 20 {
		b := newTestNode(t, addresses, "b", clock.System{})
		b.Handle("last", func(_ context.Context, s Stream) {
			_ = s.Send(wrapperspb.UInt64(7))
			go func() { _ = b.Close(context.Background()) }()
		})
		b.Start()
		c := &slowNotifyConn{armed: make(chan struct{}), closed: make(chan struct{})}
		s := dialRaw(t, a, b.Addr().String(), func(raw *net.TCPConn) net.Conn { c.TCPConn = raw; return c })
		close(c.armed)
		got := &wrapperspb.UInt64Value{}
		is.NoErr(callOn(s, "last", wrapperspb.UInt64(1), got))
		is.Equal(got.Value, uint64(7))
	}
}

// pausedConn is a connection that reads nothing until resume is closed.
type pausedConn struct {
	*net.TCPConn
	paused chan struct{} // closed when reading pauses
	resume chan struct{}
}

func (c *pausedConn) Read(b []byte) (int, error) {
	select {
	case <-c.paused:
		<-c.resume
	default:
	}
	return c.TCPConn.Read(b)
}

// A stopping host has written its last response, but the other host has not read it and sends another request
// meanwhile. Closing the connection with that request unread would reset it and drop the response.
func TestCloseLetsOtherHostReadLastResponse(t *testing.T) {
	is := is.New(t)
	addresses := &addressBook{}
	a := newTestNode(t, addresses, "a", clock.System{})
	b := newTestNode(t, addresses, "b", clock.System{})
	large := make([]byte, 200<<10)
	answered := make(chan struct{}, 1)
	started, release := make(chan struct{}), make(chan struct{})
	b.Handle("large", func(_ context.Context, s Stream) {
		close(started)
		<-release
		_ = s.Send(wrapperspb.Bytes(large))
		answered <- struct{}{}
	})
	b.Start()
	c := &pausedConn{paused: make(chan struct{}), resume: make(chan struct{})}
	s := dialRaw(t, a, b.Addr().String(), func(raw *net.TCPConn) net.Conn {
		is.NoErr(raw.SetReadBuffer(4 << 10))
		c.TCPConn = raw
		return c
	})
	got := &wrapperspb.BytesValue{}
	result := make(chan error, 1)
	go func() { result <- callOn(s, "large", wrapperspb.UInt64(1), got) }()
	<-started
	close(c.paused)
	close(release)
	<-answered
	closed := make(chan error, 1)
	go func() { closed <- b.Close(context.Background()) }()
	time.Sleep(closeLinger / 5) // Close has ended its output by then
	go func() { _ = callOn(s, "large", wrapperspb.UInt64(2), &wrapperspb.BytesValue{}) }()
	time.Sleep(closeLinger / 5)
	close(c.resume)
	is.NoErr(<-result)
	is.Equal(len(got.Value), len(large))
	is.NoErr(<-closed)
}
