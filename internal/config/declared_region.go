package config

// DeclaredRegion declares a region: data centres with fast links between them.
type DeclaredRegion struct {
	// Sites are the region's data centres by name.
	Sites map[string]*DeclaredDataCentre `json:"sites,omitempty"`
	// Links are the links to other regions, by the other region's name.
	Links map[string]*DeclaredLink `json:"links,omitempty"`
}

// DeclaredDataCentre declares a data centre.
type DeclaredDataCentre struct {
	// Description is free text.
	Description string `json:"description,omitempty"`
}

// DeclaredLink declares the link from one region to another.
type DeclaredLink struct {
	// BytesPerSecond limits the bytes that all entry hosts of the region together send over the link
	// per second.
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
}
