// Package member implements the membership protocol of the entry hosts: failure detection inside a
// region and gossip of membership records between all hosts.
package member

// State is the state of a member as the local host sees it.
type State uint8

// States of a member.
const (
	// Alive members answer heartbeats.
	Alive State = iota
	// Suspect members have missed heartbeats but may still be running.
	Suspect
	// Leaving members have announced that they stop; they take no new work.
	Leaving
	// Dead members were silent past the suspicion timeout or have left.
	Dead
)

// Member describes one incarnation of an entry host.
type Member struct {
	// ID is the host's id from its settings, unique among the entry hosts.
	ID string
	// Incarnation distinguishes restarts of the host. The higher one is newer.
	Incarnation uint64
	// Region and Site locate the host. Site is the data centre.
	Region string
	Site   string
	// PeerAddress is the address of the listener for other entry hosts.
	PeerAddress string
	// AdminAddress is the address of the admin listener.
	AdminAddress string
	// State is the member's state as the local host sees it.
	State State
}

// View is an immutable snapshot of the membership, ordered by member id. It includes the local host.
type View struct {
	// Version increases with each change of the local view.
	Version uint64
	// Self is the id of the local host.
	Self string
	// Members are all members that are not Dead.
	Members []Member
}
