package front

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlineHookConn calls onClear when the read deadline is cleared. This happens after a complete request was read and
// before it is queued.
type deadlineHookConn struct {
	net.Conn
	onClear func()
}

func (d *deadlineHookConn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		d.onClear()
	}
	return d.Conn.SetReadDeadline(t)
}

// A drain that starts after a request was read and before it is queued must not close the connection. A host on the
// platform aborted a request that it had read just as its drain delay ended.
func TestDrainBetweenReadAndEnqueueKeepsConnection(t *testing.T) {
	is := is.New(t)
	s := New(Config{Handler: handlerFunc(echo)})
	defer s.stop()
	caller, raw := net.Pipe()
	defer caller.Close()
	hook := &deadlineHookConn{Conn: raw}
	c := newConn(s, hook, remoteAddress(raw))
	hook.onClear = c.startDrain
	s.conns[c] = struct{}{}
	s.readers.Go(c.readLoop)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://a/x", nil)
	is.NoErr(err)
	is.NoErr(req.Write(caller))
	is.NoErr(caller.SetReadDeadline(time.Now().Add(testTimeout)))
	buf := make([]byte, 256)
	n, err := caller.Read(buf)
	is.NoErr(err) // a response is received instead of the end of the connection
	is.Equal(string(buf[:15]), "HTTP/1.1 200 OK"[:min(n, 15)])
}

// A request that arrives while the server closes an idle connection must not run, because its caller sees the
// connection end and sends the request again. A host on the platform forwarded such a request.
func TestRequestReceivedAfterCloseIsNotRun(t *testing.T) {
	is := is.New(t)
	ran := make(chan struct{}, 1)
	s := New(Config{Handler: handlerFunc(func(ctx context.Context, r *Request) *Response {
		ran <- struct{}{}
		return echo(ctx, r)
	})})
	defer s.stop()
	caller, raw := net.Pipe()
	defer caller.Close()
	c := newConn(s, raw, remoteAddress(raw))
	c.startDrain()
	c.onData([]byte("GET /x HTTP/1.1\r\nHost: a\r\n\r\n"))
	is.Equal(s.Active()+len(ran), 0)
}
