// Package faultproxy is a TCP proxy for tests. It resets or blackholes connections, drops the bytes of one
// direction and delays bytes.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Faults are the faults that a proxy applies to all connections.
type Faults struct {
	// ResetOnAccept resets new connections as soon as they are accepted.
	ResetOnAccept bool
	// DropFromClient discards what clients send. A connection that has lost bytes never recovers.
	DropFromClient bool
	// DropFromServer discards what the server sends. A connection that has lost bytes never recovers.
	DropFromServer bool
	// Delay is added to each byte in both directions.
	Delay time.Duration
}

// Proxy forwards TCP connections to one server. It is safe for concurrent use.
type Proxy struct {
	clock    clock.Clock
	target   string
	listener net.Listener
	done     sync.WaitGroup

	mu     sync.Mutex
	faults Faults
	conns  map[*proxiedConn]struct{}
	closed bool
}

// Start listens on address and forwards to target.
func Start(address, target string, c clock.Clock) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{clock: c, target: target, listener: l, conns: map[*proxiedConn]struct{}{}}
	p.done.Go(p.accept)
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set replaces the faults.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the current faults.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Blackhole makes all open connections discard further traffic in both directions. New connections work normally.
func (p *Proxy) Blackhole() {
	for _, c := range p.openConns() {
		c.blackholed.Store(true)
	}
}

// ResetConnections resets all open connections (TCP RST).
func (p *Proxy) ResetConnections() {
	for _, c := range p.openConns() {
		c.reset()
	}
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int { return len(p.openConns()) }

// Close stops listening, resets all connections and waits until all goroutines have ended.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.listener.Close()
	p.ResetConnections()
	p.done.Wait()
}

func (p *Proxy) openConns() []*proxiedConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := make([]*proxiedConn, 0, len(p.conns))
	for c := range p.conns {
		conns = append(conns, c)
	}
	return conns
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.Faults().ResetOnAccept {
			resetConn(client)
			continue
		}
		p.done.Go(func() { p.serve(client) })
	}
}

// serve forwards one connection until both directions have ended.
func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		resetConn(client)
		return
	}
	c := &proxiedConn{proxy: p, client: client, server: server, done: make(chan struct{})}
	if !p.add(c) {
		c.reset()
		return
	}
	defer p.remove(c)
	defer c.reset()
	var pumps sync.WaitGroup
	pumps.Go(func() { c.forward(client, server, func(f Faults) bool { return f.DropFromClient }) })
	pumps.Go(func() { c.forward(server, client, func(f Faults) bool { return f.DropFromServer }) })
	pumps.Wait()
}

func (p *Proxy) add(c *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[c] = struct{}{}
	return true
}

func (p *Proxy) remove(c *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}
