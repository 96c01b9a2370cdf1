package config

// Version is the only accepted value of the field apiVersion.
const Version = "bilberryline/v1"

// Declaration is the configuration as operators write it: the base file, or the base file merged with
// the overlay of one site. Collections are maps keyed by name, so that an overlay can add, change or, by
// null, remove a single entry.
//
// The struct tag scope:"base" marks fields that only the base file may set, and scope:"site" those
// that only an overlay may set.
type Declaration struct {
	// APIVersion is the version of the schema: bilberryline/v1.
	APIVersion string `json:"apiVersion,omitempty"`
	// Site describes the site that an overlay is for. Only an overlay may set it.
	Site *DeclaredSite `json:"site,omitempty" scope:"site"`
	// Regions are the regions by name. Only the base file may set them.
	Regions map[string]*DeclaredRegion `json:"regions,omitempty" scope:"base"`
	// Departments are groups of callers by name. Only the base file may set them.
	Departments map[string]*DeclaredDepartment `json:"departments,omitempty" scope:"base"`
	// Callers are the clients that may send requests, by name. Without this field every service accepts
	// all clients under the caller name "anonymous". If it is there and empty, no client is accepted.
	Callers map[string]*DeclaredCaller `json:"callers,omitzero"`
	// Services are the services by name.
	Services map[string]*DeclaredService `json:"services,omitempty"`
}
