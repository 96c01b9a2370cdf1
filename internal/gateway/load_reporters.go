package gateway

import "sync"

// loadReporters holds which services' servers tell their load. Those of the others answer a question for it as
// any other request, in a slot. Its lock is a leaf.
type loadReporters struct {
	mu        sync.Mutex
	byService map[string]bool
}

func newLoadReporters() *loadReporters { return &loadReporters{byService: make(map[string]bool)} }

// observe learns from an answer. A service that has told its load once does so:
// a single answer without it is a fault.
func (t *loadReporters) observe(service string, told bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byService[service] = t.byService[service] || told
}

// withoutReports tells whether the servers of a service are known to tell no load.
func (t *loadReporters) withoutReports(service string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	told, known := t.byService[service]
	return known && !told
}
