package slots

import (
	"slices"
	"sync"
	"time"
)

const (
	// contentionTTL is how long a service counts as contended after a wait or a refusal.
	contentionTTL = 3 * time.Second
	// minContendedWait is the wait for a slot from which a service counts as contended.
	minContendedWait = 2 * time.Millisecond
	// maxContended is the maximum number of services that other owners are asked about at once.
	maxContended = 16
)

// contendedServices holds the services with a request that recently waited for a slot or was refused one. This
// host needs the fill of other groups for these services only. It is safe for concurrent use. No other lock is
// taken while its own is held.
type contendedServices struct {
	mu       sync.Mutex
	services map[string]time.Time // time of the latest wait or refusal
}

func newContendedServices() *contendedServices {
	return &contendedServices{services: make(map[string]time.Time)}
}

// record marks the service as contended if a request failed to acquire a slot, or waited minContendedWait or
// longer.
func (c *contendedServices) record(service string, waited time.Duration, err error) {
	if err == nil && waited < minContendedWait {
		return
	}
	c.mu.Lock()
	c.services[service] = time.Now()
	c.mu.Unlock()
}

// list returns the contended services sorted by name, at most maxContended.
func (c *contendedServices) list() []string {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for service, last := range c.services {
		if now.Sub(last) > contentionTTL {
			delete(c.services, service)
			continue
		}
		names = append(names, service)
	}
	slices.Sort(names)
	return names[:min(len(names), maxContended)]
}
