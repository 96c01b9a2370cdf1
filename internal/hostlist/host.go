// Package hostlist polls the platform's list of live and leaving hosts, which is in the Prometheus HTTP service
// discovery format. The list may lag behind the actual state of the hosts.
package hostlist

// Role is what runs on a host.
type Role string

// Roles of hosts.
const (
	// RoleEntry is the role of entry hosts.
	RoleEntry Role = "entry"
	// RoleBackend is the role of hosts that run backend servers.
	RoleBackend Role = "backend"
)

// State is the state of a host as reported by the platform.
type State string

// States of hosts.
const (
	// StateLive is the state of running hosts.
	StateLive State = "live"
	// StateLeaving is the state of hosts that the platform is about to stop.
	StateLeaving State = "leaving"
)

// Host is one entry of the list.
type Host struct {
	// Address is an IP address and port: the peer listener of an entry host, or the service of a backend
	// server.
	Address string
	// ID is the host's id.
	ID string
	// Role is what runs on the host.
	Role Role
	// State is the state of the host as reported by the platform.
	State State
	// Region and Site are the location of the host. Site is the data centre.
	Region string
	Site   string
	// AdminAddress is the address of the admin listener of an entry host.
	AdminAddress string
	// Name is the name of the backend server in the configuration. It may be empty.
	Name string
}
