package harness

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Ports are taken below the usual range of ephemeral ports, so that no outgoing connection takes
// one between its choice and its use.
const (
	firstPort = 10_000
	lastPort  = 31_999
)

// PortAllocator picks free ports on one IP number. It is safe for concurrent use.
type PortAllocator struct {
	ip string

	mu   sync.Mutex
	next int
}

// NewPortAllocator returns a picker that starts at a random port.
func NewPortAllocator(ip string, rng *rand.Rand) *PortAllocator {
	return &PortAllocator{ip: ip, next: firstPort + rng.IntN(lastPort-firstPort)}
}

// Allocate returns an address that nothing listens on and that this picker has not returned lately.
func (p *PortAllocator) Allocate() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		address := net.JoinHostPort(p.ip, strconv.Itoa(p.next))
		p.next++
		if p.next > lastPort {
			p.next = firstPort
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address
	}
}

// FreeAddresses returns addresses that no other part of the cluster uses.
func (c *Cluster) FreeAddresses(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = c.ports.Allocate()
	}
	return addresses
}
