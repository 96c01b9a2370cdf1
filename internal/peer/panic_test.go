package peer

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// A message that makes its handler panic costs its own exchange, not the process and not the session.
func TestHandlerPanicCostsOneExchange(t *testing.T) {
	is := is.New(t)
	addresses := &addressBook{}
	a := newTestNode(t, addresses, "a", clock.System{})
	b := newTestNode(t, addresses, "b", clock.System{})
	b.Handle("double", handleDouble)
	b.Handle("odd", func(context.Context, Stream) { panic("odd message") })
	a.Start()
	b.Start()
	got := &wrapperspb.UInt64Value{}
	is.NoErr(a.Call(context.Background(), "b", "double", wrapperspb.UInt64(2), got))
	is.True(a.Call(context.Background(), "b", "odd", wrapperspb.UInt64(1), &wrapperspb.UInt64Value{}) != nil)
	is.NoErr(a.Call(context.Background(), "b", "double", wrapperspb.UInt64(3), got))
	is.Equal(got.Value, uint64(6))
}
