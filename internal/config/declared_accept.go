package config

// DeclaredAccept declares the callers whose requests a service accepts. An entry is true to accept and
// false to reject. A caller's own entry takes precedence over that of its department.
type DeclaredAccept struct {
	// Callers are single callers by name.
	Callers map[string]bool `json:"callers,omitempty"`
	// Departments are departments, each with all its callers, by name.
	Departments map[string]bool `json:"departments,omitempty"`
}
