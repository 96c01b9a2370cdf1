package gateway

import "sync"

// loadReporters tracks which services have servers that report their load. Servers without load reports process a
// probe in a slot like any other request. Its lock is a leaf.
type loadReporters struct {
	mu        sync.Mutex
	byService map[string]bool // whether any response of the service had a load report
}

func newLoadReporters() *loadReporters { return &loadReporters{byService: make(map[string]bool)} }

// observe records whether a response had a load report. One report is enough to count a service as reporting, since
// a later response without a report is a fault.
func (r *loadReporters) observe(service string, reported bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.byService[service] = r.byService[service] || reported
}

// withoutReports reports whether the servers of a service are known not to report their load.
func (r *loadReporters) withoutReports(service string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	reported, known := r.byService[service]
	return known && !reported
}
