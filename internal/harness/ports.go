package harness

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
)

// Range of allocated ports. It lies below the usual ephemeral port range, so that no outgoing connection
// takes a port between its allocation and its use.
const (
	firstPort = 10_000
	lastPort  = 31_999
)

// portsPerBlock is the number of ports that an allocator takes at a time.
const portsPerBlock = 100

// PortAllocator allocates free ports of one IP address. No other allocator on the machine gets the same ports while it is in
// use, so that a process that was killed finds its ports free when it starts again. It is safe for concurrent use.
type PortAllocator struct {
	ip string

	mu    sync.Mutex
	block int // number of the block that is tried next
	next  int
	end   int        // end of the block that next belongs to, exclusive
	locks []*os.File // one for each block, locked while the allocator is in use
}

// NewPortAllocator returns an allocator that starts at a random block of ports.
func NewPortAllocator(ip string, rng *rand.Rand) *PortAllocator {
	return &PortAllocator{ip: ip, block: rng.IntN(portBlocks)}
}

const portBlocks = (lastPort + 1 - firstPort) / portsPerBlock

// Allocate returns an address, IP:PORT, that nothing listens on.
func (p *PortAllocator) Allocate() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		if p.next == p.end {
			p.lockBlock()
		}
		address := net.JoinHostPort(p.ip, strconv.Itoa(p.next))
		p.next++
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		l.Close()
		return address
	}
}

// lockBlock takes the next block that no other allocator has. It panics if there is none, or if the temporary folder can't
// be written.
func (p *PortAllocator) lockBlock() {
	dir := filepath.Join(os.TempDir(), "bilberry-ports")
	if err := os.MkdirAll(dir, 0o777); err != nil {
		panic(err)
	}
	for range portBlocks {
		block := p.block
		p.block = (p.block + 1) % portBlocks
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("%s-%d", p.ip, block)), os.O_CREATE|os.O_RDWR, 0o666)
		if err != nil {
			panic(err)
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) != nil {
			f.Close() // another allocator has it
			continue
		}
		p.locks = append(p.locks, f)
		p.next, p.end = firstPort+block*portsPerBlock, firstPort+(block+1)*portsPerBlock
		return
	}
	panic("all ports are allocated")
}

// FreeAddresses returns n addresses that no other part of the cluster uses.
func (c *Cluster) FreeAddresses(n int) []string {
	addresses := make([]string, n)
	for i := range addresses {
		addresses[i] = c.ports.Allocate()
	}
	return addresses
}
