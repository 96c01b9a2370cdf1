package config

// DeclaredTarget declares a backend server.
type DeclaredTarget struct {
	// Address is the IP address and port.
	Address string `json:"address,omitempty"`
	// Site is the data centre of the backend server. It is required when regions are declared.
	Site string `json:"site,omitempty"`
	// Slots is the number of requests that the backend server runs concurrently. Default from targetDefaults.
	Slots *int `json:"slots,omitempty"`
	// MaxConnections limits the open connections from all entry hosts together. Default from targetDefaults.
	MaxConnections *int `json:"maxConnections,omitempty"`
	// Draining backend servers get no new requests.
	Draining bool `json:"draining,omitempty"`
}

// DeclaredTargetDefaults declares the defaults of a service's backend servers.
type DeclaredTargetDefaults struct {
	// Slots is the number of requests that a backend server runs concurrently. Default 16.
	Slots *int `json:"slots,omitempty"`
	// MaxConnections limits the open connections from all entry hosts together. Default 256.
	MaxConnections *int `json:"maxConnections,omitempty"`
}
