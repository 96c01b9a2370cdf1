package config

// DeclaredRoute declares which requests go to a service and how they are handled.
type DeclaredRoute struct {
	// Host is the authority that the route matches, without port. Default any.
	Host string `json:"host,omitempty"`
	// PathPrefix is the path prefix that the route matches. It matches whole path segments. Default /.
	PathPrefix string `json:"pathPrefix,omitempty"`
	// Methods lists the methods that the route matches. Default any. GET includes HEAD.
	Methods []string `json:"methods,omitempty"`
	// Idempotent declares that running a request twice has the same effect as running it once. Default
	// false. Only the base file may set it.
	Idempotent bool `json:"idempotent,omitempty" scope:"base"`
	// Deadline is the longest time from a request's receipt to its response. Default 10s.
	Deadline *Duration `json:"deadline,omitempty"`
	// Long marks requests that are expected to occupy a slot for a long time.
	Long bool `json:"long,omitempty"`
}
