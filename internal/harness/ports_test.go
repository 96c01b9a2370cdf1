package harness

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

// While a host that was killed is down, a cluster of another test process took its port, and the host ended when it started
// again: "address already in use".
func TestPortsOfOneAllocatorAreNotAllocatedByAnother(t *testing.T) {
	is := is.New(t)
	const ports = 2*portsPerBlock + 1
	allocated := map[string]bool{}
	for range 3 {
		p := NewPortAllocator("127.0.0.1", rand.New(rand.NewPCG(1, 1))) // the same first block
		for range ports {
			address := p.Allocate()
			is.True(!allocated[address])
			allocated[address] = true
		}
	}
}
