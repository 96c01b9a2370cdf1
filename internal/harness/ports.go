package harness

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

// Range of allocated ports. It lies below the usual ephemeral port range, so that no outgoing connection
// takes a port between its allocation and its use.
const (
	firstPort = 10_000
	lastPort  = 31_999
)

// PortAllocator allocates free ports of one IP address. It is safe for concurrent use.
type PortAllocator struct {
	ip string

	mu   sync.Mutex
	next int
}

// NewPortAllocator returns an allocator that starts at a random port.
func NewPortAllocator(ip string, rng *rand.Rand) *PortAllocator {
	return &PortAllocator{ip: ip, next: firstPort + rng.IntN(lastPort-firstPort)}
}

// Allocate returns an address, IP:PORT, that nothing listens on. It tries all other ports of the range before it
// returns the same address again.
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

// FreeAddresses returns n addresses that no other part of the cluster uses.
func (c *Cluster) FreeAddresses(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = c.ports.Allocate()
	}
	return addresses
}
