package config

// DeclaredSite describes the site that an overlay is for.
type DeclaredSite struct {
	// Name is the data centre's name. It must equal the overlay's file name without extension.
	Name string `json:"name,omitempty"`
	// Description is free text.
	Description string `json:"description,omitempty"`
}
