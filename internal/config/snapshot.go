package config

import "time"

// Snapshot is one revision of the configuration, merged for one site and ready for use. It is
// immutable: a change makes a new snapshot, and a request finishes under the snapshot it began with.
type Snapshot struct {
	// Revision numbers accepted configurations, from 1. Zero means a configuration read from files.
	Revision uint64
	// Hash is the hexadecimal content hash of the revision.
	Hash string
	// Site is the name of the overlay that was applied.
	Site string
	// Services are the services by name.
	Services map[string]*Service
	// Routes match requests to services, longest path prefix first.
	Routes []*Route
	// Regions are the regions by name.
	Regions map[string]*Region
	// Callers are the accepted callers by name.
	Callers map[string]*Caller

	// index holds the look-up tables of Match and Identify.
	tables *lookupTables
}

// Service is a set of backend servers that answer the same routes.
type Service struct {
	Name string
	// Targets are the backend servers, ordered by name.
	Targets []*Target
	// Routes are the routes that lead to this service.
	Routes []*Route
	// Accepts names the callers that the service accepts, departments already expanded.
	Accepts map[string]bool
	// ProbeShare is the share of each target's slot time that probes may use, 0 to 1.
	ProbeShare float64
	// ProbeBytesPerSecond limits the bytes of probes over all entry hosts.
	ProbeBytesPerSecond int
	// ProbePath is the path of the health and load endpoint.
	ProbePath string
	// ProbeCost is the slot time that one probe takes of a target.
	ProbeCost time.Duration
	// NotRunStatus lists the answer codes by which a target declares that it did not run the request.
	NotRunStatus map[int]bool
	// RetryBudget is the share of requests that may be sent a second time, 0 to 1.
	RetryBudget float64
	// HedgeBudget is the share of requests that may be hedged, 0 to 1.
	HedgeBudget float64
	// MaxEjectedShare is the largest share of targets that outlier detection may eject, 0 to 1.
	MaxEjectedShare float64
	// QueueLimit is the number of requests that may wait in one slot group.
	QueueLimit int
	// DedupeWindow is how long the outcome of an idempotency key is kept.
	DedupeWindow time.Duration
}

// Target is a backend server of a service.
type Target struct {
	Name string
	// Service is the name of the service.
	Service string
	// Address is the IP number and port.
	Address string
	// Region and Site place the target; Site is the data centre.
	Region string
	Site   string
	// Slots is the number of requests that the target runs at once.
	Slots int
	// MaxConnections limits open connections from all entry hosts together.
	MaxConnections int
	// Draining targets get no new work.
	Draining bool
}

// Route selects requests of a service and says how they are treated.
type Route struct {
	// Name is unique within the service.
	Name string
	// Service is the name of the service.
	Service string
	// Host is the authority that the route matches; empty matches any.
	Host string
	// PathPrefix is the path prefix that the route matches.
	PathPrefix string
	// Methods lists the methods that the route matches; empty matches any.
	Methods []string
	// Idempotent tells that running a request twice is harmless.
	Idempotent bool
	// Deadline is the longest time from receipt to answer.
	Deadline time.Duration
	// Long marks work that is expected to hold a slot for long.
	Long bool
}

// Region is a group of data centres with fast links between them.
type Region struct {
	Name string
	// Sites are the names of the region's data centres.
	Sites []string
	// LinkBytesPerSecond limits the bytes sent to each other region by name; absent means unlimited.
	LinkBytesPerSecond map[string]int64
}

// Caller is a party that may send requests.
type Caller struct {
	Name string
	// Department is the group the caller belongs to.
	Department string
	// TokenHashes are hexadecimal SHA-256 hashes of accepted bearer tokens.
	TokenHashes []string
	// Networks are accepted client address ranges in CIDR form.
	Networks []string
	// Weight is the caller's fair share relative to others. Default 1.
	Weight float64
	// HomeRegion holds the caller's idempotency keys.
	HomeRegion string
}
