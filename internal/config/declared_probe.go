package config

// DeclaredProbe configures and limits the probes of one service's backend servers.
type DeclaredProbe struct {
	// Share is the share of each backend server's slot time that probes may use, 0 to 1. Default 0.01.
	Share *float64 `json:"share,omitempty"`
	// BytesPerSecond limits the bytes of the probes of all entry hosts together. Default 50000.
	BytesPerSecond *int `json:"bytesPerSecond,omitempty"`
	// Path is the path of the health and load endpoint. Default /healthz.
	Path string `json:"path,omitempty"`
	// Cost is the slot time that one probe uses. Default 1ms.
	Cost *Duration `json:"cost,omitempty"`
}
