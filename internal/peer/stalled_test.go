package peer

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// stalledConn is a connection whose writes block once stalled is closed, as after a cut link while TCP backs off.
type stalledConn struct {
	*net.TCPConn
	stalled, closed chan struct{}
}

func (c *stalledConn) Write(b []byte) (int, error) {
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.TCPConn.Write(b)
	}
}

func (c *stalledConn) Close() error {
	select {
	case <-c.closed:
	default:
		close(c.closed)
	}
	return c.TCPConn.Close()
}

// A host that was cut off searches for a source among hosts whose sessions have stalled. Each call took as long as a
// write may block instead of the time that the search gives it.
func TestCallsOnStalledSessionEndWithTheirContext(t *testing.T) {
	is := is.New(t)
	addresses := &addressBook{}
	a := newTestNode(t, addresses, "a", clock.System{})
	a.cfg.PingTimeout = waitTimeout // a write may block for so long
	b := newTestNode(t, addresses, "b", clock.System{})
	b.Handle("double", handleDouble)
	b.Start()
	c := &stalledConn{stalled: make(chan struct{}), closed: make(chan struct{})}
	s := dialRaw(t, a, b.Addr().String(), func(raw *net.TCPConn) net.Conn { c.TCPConn = raw; return c })
	l := a.linkTo("b")
	l.mu.Lock()
	l.current, l.address = s, b.Addr().String()
	l.mu.Unlock()
	is.NoErr(a.Call(context.Background(), "b", "double", wrapperspb.UInt64(1), &wrapperspb.UInt64Value{}))
	close(c.stalled)
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, "b", "double", wrapperspb.UInt64(1), &wrapperspb.UInt64Value{})
	is.True(errors.Is(err, context.DeadlineExceeded))
	_, err = a.Open(ctx, "b", "double")
	is.True(errors.Is(err, context.DeadlineExceeded))
	is.True(time.Since(begun) < waitTimeout/2)
}
