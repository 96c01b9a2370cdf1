package faultproxy

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryline/bilberryline/internal/clock"
)

const testTimeout = 10 * time.Second

// echoServer starts a server that echoes what it reads until the test ends, and returns its address.
func echoServer(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				_, _ = io.Copy(c, c)
			}()
		}
	}()
	return l.Addr().String()
}

func startProxy(t *testing.T) *Proxy {
	p, err := Start("127.0.0.1:0", echoServer(t), clock.System{})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

func dial(t *testing.T, p *Proxy) net.Conn {
	c, err := net.Dial("tcp", p.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// echoes reports whether a byte comes back within the time.
func echoes(c net.Conn, within time.Duration) bool {
	_ = c.SetDeadline(time.Now().Add(within))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}

func TestBlackholeAffectsOnlyOpenConnections(t *testing.T) {
	is := is.New(t)
	p := startProxy(t)
	old := dial(t, p)
	is.True(echoes(old, testTimeout))
	p.Blackhole()
	is.True(!echoes(old, 100*time.Millisecond))
	is.True(echoes(dial(t, p), testTimeout))
	is.True(!echoes(old, 100*time.Millisecond))
}

func TestOneWayDropLeavesConnectionOpen(t *testing.T) {
	is := is.New(t)
	p := startProxy(t)
	c := dial(t, p)
	is.True(echoes(c, testTimeout))
	p.Set(Faults{DropFromServer: true})
	is.True(!echoes(c, 100*time.Millisecond))
	is.Equal(p.Connections(), 1)
	p.Set(Faults{})
	is.True(!echoes(c, 100*time.Millisecond)) // bytes are missing from the stream
	is.True(echoes(dial(t, p), testTimeout))
}

func TestResetConnections(t *testing.T) {
	is := is.New(t)
	p := startProxy(t)
	c := dial(t, p)
	is.True(echoes(c, testTimeout))
	p.ResetConnections()
	_ = c.SetReadDeadline(time.Now().Add(testTimeout))
	_, err := c.Read(make([]byte, 1))
	is.True(err != nil)
}

func TestDelayAppliesToBothDirections(t *testing.T) {
	is := is.New(t)
	p := startProxy(t)
	c := dial(t, p)
	is.True(echoes(c, testTimeout))
	p.Set(Faults{Delay: 60 * time.Millisecond})
	start := time.Now()
	is.True(echoes(c, testTimeout))
	is.True(time.Since(start) >= 120*time.Millisecond)
}
