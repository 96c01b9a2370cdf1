package config

// DeclaredCaller declares a client that may send requests.
type DeclaredCaller struct {
	// Department is the department the caller belongs to.
	Department string `json:"department,omitempty"`
	// Tokens are the accepted bearer tokens by a name that the operator chooses.
	Tokens map[string]*DeclaredToken `json:"tokens,omitempty"`
	// Networks are the client address ranges in CIDR notation. An entry is true to accept the range.
	Networks map[string]bool `json:"networks,omitempty"`
	// Weight is the caller's weight in fair sharing. Default 1.
	Weight *float64 `json:"weight,omitempty"`
	// HomeRegion is the region that stores the caller's idempotency keys. Only the base file may set it.
	HomeRegion string `json:"homeRegion,omitempty" scope:"base"`
}

// DeclaredToken declares a bearer token by its hash.
type DeclaredToken struct {
	// SHA256 is the hexadecimal SHA-256 hash of the token.
	SHA256 string `json:"sha256,omitempty"`
}

// DeclaredDepartment declares a group of callers. Each caller sets the department it belongs to.
type DeclaredDepartment struct {
	// Description is free text.
	Description string `json:"description,omitempty"`
}
