// Package faultproxy is a TCP proxy for tests. It cuts connections, makes open ones silent for good,
// loses one direction and delays bytes.
package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// Faults are the failures in force for all connections.
type Faults struct {
	// ResetOnAccept cuts new connections as soon as they are accepted.
	ResetOnAccept bool
	// DropFromClient swallows what clients send. A connection that lost bytes never recovers.
	DropFromClient bool
	// DropFromServer swallows what the server sends. A connection that lost bytes never recovers.
	DropFromServer bool
	// Delay holds each byte back in both directions.
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

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set puts faults in force in place of those before.
func (p *Proxy) Set(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// Faults returns the faults in force.
func (p *Proxy) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// Blackhole makes the open connections silent for good. New ones work.
func (p *Proxy) Blackhole() {
	for _, l := range p.openConns() {
		l.blackholed.Store(true)
	}
}

// ResetConnections resets the open connections.
func (p *Proxy) ResetConnections() {
	for _, l := range p.openConns() {
		l.reset()
	}
}

// Connections returns the number of open connections.
func (p *Proxy) Connections() int { return len(p.openConns()) }

// Close stops listening, resets all connections and waits for the goroutines.
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
	links := make([]*proxiedConn, 0, len(p.conns))
	for l := range p.conns {
		links = append(links, l)
	}
	return links
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
	l := &proxiedConn{proxy: p, client: client, server: server, done: make(chan struct{})}
	if !p.add(l) {
		l.reset()
		return
	}
	defer p.remove(l)
	defer l.reset()
	var pumps sync.WaitGroup
	pumps.Go(func() { l.forward(client, server, func(f Faults) bool { return f.DropFromClient }) })
	pumps.Go(func() { l.forward(server, client, func(f Faults) bool { return f.DropFromServer }) })
	pumps.Wait()
}

func (p *Proxy) add(l *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return false
	}
	p.conns[l] = struct{}{}
	return true
}

func (p *Proxy) remove(l *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, l)
}
