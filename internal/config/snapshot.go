package config

import "time"

// Snapshot is one revision of the configuration, merged for one site and ready for use. It is
// immutable: a change creates a new snapshot, and a request uses the snapshot it began with to its end.
type Snapshot struct {
	// Revision is the number of the accepted revision, from 1. It is 0 for a configuration read from files.
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

	// tables holds the lookup tables of Match and Identify.
	tables *lookupTables
}

// Service is a set of backend servers that serve the same routes.
type Service struct {
	Name string
	// Targets are the backend servers, ordered by name.
	Targets []*Target
	// Routes are the routes to this service.
	Routes []*Route
	// Accepts is the set of callers that the service accepts, including those accepted by department.
	Accepts map[string]bool
	// ProbeShare is the share of each target's slot time that probes may use, 0 to 1.
	ProbeShare float64
	// ProbeBytesPerSecond limits the bytes of the probes of all entry hosts together.
	ProbeBytesPerSecond int
	// ProbePath is the path of the health and load endpoint.
	ProbePath string
	// ProbeCost is the slot time that one probe uses on a target.
	ProbeCost time.Duration
	// NotRunStatus is the set of response codes by which a target declares that it did not run the
	// request.
	NotRunStatus map[int]bool
	// RetryBudget is the share of requests that may be retried, 0 to 1.
	RetryBudget float64
	// HedgeBudget is the share of requests that may be hedged, 0 to 1.
	HedgeBudget float64
	// MaxEjectedShare is the largest share of targets that outlier detection may eject, 0 to 1.
	MaxEjectedShare float64
	// QueueLimit is the largest number of requests that may wait in one slot group.
	QueueLimit int
	// DedupeWindow is how long the outcome of an idempotency key is kept.
	DedupeWindow time.Duration
}

// Target is a backend server of a service.
type Target struct {
	Name string
	// Service is the name of the service.
	Service string
	// Address is the IP address and port.
	Address string
	// Region and Site are the target's location. Site is the data centre.
	Region string
	Site   string
	// Slots is the number of requests that the target runs concurrently.
	Slots int
	// MaxConnections limits the open connections from all entry hosts together.
	MaxConnections int
	// Draining targets get no new requests.
	Draining bool
}

// Route selects the requests for a service and sets how they are handled.
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
	// Idempotent reports whether running a request twice has the same effect as running it once.
	Idempotent bool
	// Deadline is the longest time from a request's receipt to its response.
	Deadline time.Duration
	// Long marks requests that are expected to occupy a slot for a long time.
	Long bool
}

// Region is a group of data centres with fast links between them.
type Region struct {
	Name string
	// Sites are the names of the region's data centres.
	Sites []string
	// LinkBytesPerSecond limits the bytes sent to other regions, by region name. A region without an
	// entry is not limited.
	LinkBytesPerSecond map[string]int64
}

// Caller is a client that may send requests.
type Caller struct {
	Name string
	// Department is the group that the caller belongs to.
	Department string
	// TokenHashes are the hexadecimal SHA-256 hashes of the accepted bearer tokens.
	TokenHashes []string
	// Networks are the accepted client address ranges in CIDR notation.
	Networks []string
	// Weight is the caller's weight in fair sharing. Default 1.
	Weight float64
	// HomeRegion is the region that stores the caller's idempotency keys.
	HomeRegion string
}
