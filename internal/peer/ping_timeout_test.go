package peer

import (
	"context"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// blackholeProxy relays connections to a target. Incrementing epoch makes it drop all further bytes of the open ones.
type blackholeProxy struct {
	listener net.Listener
	target   string
	epoch    atomic.Int64 // connections of earlier epochs are blackholed
}

func newBlackholeProxy(t *testing.T, target string) *blackholeProxy {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	p := &blackholeProxy{listener: listener, target: target}
	go p.run()
	return p
}

func (p *blackholeProxy) run() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			near.Close()
			continue
		}
		epoch := p.epoch.Load()
		go p.relay(near, far, epoch)
		go p.relay(far, near, epoch)
	}
}

func (p *blackholeProxy) relay(from, to net.Conn, epoch int64) {
	defer to.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if epoch != p.epoch.Load() {
			continue
		}
		if _, err = io.Writer(to).Write(buf[:n]); err != nil {
			return
		}
	}
}

func TestUnresponsiveSessionIsClosedAndReplaced(t *testing.T) {
	is := is.New(t)
	addresses := &addressBook{}
	a := newTestNode(t, addresses, "a", clock.System{})
	b := newTestNode(t, addresses, "b", clock.System{})
	ended := make(chan error, 1)
	b.Handle("hold", func(_ context.Context, s Stream) {
		m := &wrapperspb.UInt64Value{}
		_ = s.Recv(m)
		_ = s.Send(m)
		ended <- s.Recv(m)
	})
	b.Handle("double", handleDouble)
	a.Start()
	b.Start()
	proxy := newBlackholeProxy(t, addresses.addresses["b"])
	addresses.set("b", proxy.listener.Addr().String())
	s, err := a.Open(context.Background(), "b", "hold")
	is.NoErr(err)
	defer s.Close()
	is.NoErr(s.Send(wrapperspb.UInt64(1)))
	is.NoErr(s.Recv(&wrapperspb.UInt64Value{}))

	proxy.epoch.Add(1)
	var broken *BrokenError
	is.True(errors.As(s.Recv(&wrapperspb.UInt64Value{}), &broken)) // the dialling side detects it
	select {
	case err = <-ended: // the accepting side detects it too
		is.True(errors.As(err, &broken))
	case <-time.After(waitTimeout):
		t.Fatal("the handler's Recv did not fail after the session became unresponsive")
	}
	got := &wrapperspb.UInt64Value{}
	is.NoErr(a.Call(context.Background(), "b", "double", wrapperspb.UInt64(3), got))
	is.Equal(got.Value, uint64(6))
}
