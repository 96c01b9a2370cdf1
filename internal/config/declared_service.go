package config

// DeclaredService declares a service: backend servers that serve the same routes.
type DeclaredService struct {
	// Accept declares the callers whose requests the service accepts.
	Accept *DeclaredAccept `json:"accept,omitempty"`
	// Probe configures and limits the probes of the backend servers.
	Probe *DeclaredProbe `json:"probe,omitempty"`
	// NotRunStatus lists the response codes, 400 to 599, by which a backend server declares that it
	// did not run the request. Default none. Only the base file may set it.
	NotRunStatus []int `json:"notRunStatus,omitempty" scope:"base"`
	// RetryBudget is the share of requests that may be retried, 0 to 1. Default 0.1.
	RetryBudget *float64 `json:"retryBudget,omitempty"`
	// HedgeBudget is the share of requests that may be hedged, 0 to 1. Default 0.02.
	HedgeBudget *float64 `json:"hedgeBudget,omitempty"`
	// MaxEjectedShare is the largest share of backend servers that outlier detection may eject, 0 to 1. Default 0.3.
	MaxEjectedShare *float64 `json:"maxEjectedShare,omitempty"`
	// QueueLimit is the largest number of requests that may wait in one slot group. Default 1000.
	QueueLimit *int `json:"queueLimit,omitempty"`
	// DedupeWindow is how long the outcome of an idempotency key is kept. Default 10m. Only the
	// base file may set it.
	DedupeWindow *Duration `json:"dedupeWindow,omitempty" scope:"base"`
	// TargetDefaults are the defaults of the backend servers.
	TargetDefaults *DeclaredTargetDefaults `json:"targetDefaults,omitempty"`
	// Routes are the routes to the service, by name.
	Routes map[string]*DeclaredRoute `json:"routes,omitempty"`
	// Targets are the backend servers by name.
	Targets map[string]*DeclaredTarget `json:"targets,omitempty"`
}
