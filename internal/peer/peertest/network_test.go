package peertest

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bilberryline/bilberryline/internal/clock"
	"github.com/bilberryline/bilberryline/internal/peer"
)

func newEchoPair() (*Network, *Node) {
	n := New(clock.System{}, rand.New(rand.NewPCG(1, 1)))
	a, b := n.Node("a"), n.Node("b")
	b.Handle("echo", func(_ context.Context, s peer.Stream) {
		m := &wrapperspb.UInt64Value{}
		for s.Recv(m) == nil {
			_ = s.Send(m)
		}
	})
	return n, a
}

func TestCutBreaksOpenExchangesAndRefusesNewOnes(t *testing.T) {
	is := is.New(t)
	n, a := newEchoPair()
	s, err := a.Open(context.Background(), "b", "echo")
	is.NoErr(err)
	got := &wrapperspb.UInt64Value{}
	is.NoErr(s.Send(wrapperspb.UInt64(5)))
	is.NoErr(s.Recv(got))
	is.Equal(got.Value, uint64(5))
	n.Cut("a", "b")
	var broken *peer.BrokenError
	err = s.Recv(got)
	is.True(errors.As(err, &broken))
	is.True(!errors.Is(err, io.EOF))
	var unreachable *peer.UnreachableError
	is.True(errors.As(a.Call(context.Background(), "b", "echo", got, got), &unreachable))
	n.Heal("a", "b")
	is.NoErr(a.Call(context.Background(), "b", "echo", wrapperspb.UInt64(6), got))
	is.Equal(got.Value, uint64(6))
}

func TestCallOverBlackholeFailsAtDeadline(t *testing.T) {
	is := is.New(t)
	n, a := newEchoPair()
	n.Blackhole("a", "b")
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	err := a.Call(ctx, "b", "echo", wrapperspb.UInt64(1), &wrapperspb.UInt64Value{})
	is.True(errors.Is(err, context.DeadlineExceeded))
}
