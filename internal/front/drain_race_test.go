package front

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// deadlineHook calls back when the read deadline is cleared, which happens after a whole request was
// read and before it is queued.
type deadlineHook struct {
	net.Conn
	cleared func()
}

func (d *deadlineHook) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		d.cleared()
	}
	return d.Conn.SetReadDeadline(t)
}

// A stop that begins between the reading of a request and its queueing must not close the connection.
// Found on the platform: a host cut off a request that it had read as its drain delay ended.
func TestStopBetweenReadingAndQueueingCutsNothing(t *testing.T) {
	is := is.New(t)
	s := New(Config{Handler: handlerFunc(echo)})
	defer s.stop()
	caller, raw := net.Pipe()
	defer caller.Close()
	hook := &deadlineHook{Conn: raw}
	c := newConn(s, hook, remoteAddress(raw))
	hook.cleared = c.startDrain
	s.conns[c] = struct{}{}
	s.readers.Go(c.readLoop)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://a/x", nil)
	is.NoErr(err)
	is.NoErr(req.Write(caller))
	is.NoErr(caller.SetReadDeadline(time.Now().Add(testTimeout)))
	buf := make([]byte, 256)
	n, err := caller.Read(buf)
	is.NoErr(err) // the answer, not the end of the connection
	is.Equal(string(buf[:15]), "HTTP/1.1 200 OK"[:min(n, 15)])
}

// A request that crosses the close of an idle connection must not run: its caller sees the connection
// end and sends it again. Found on the platform: a host passed such a request on.
func TestRequestThatCrossesTheCloseIsNotRun(t *testing.T) {
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
