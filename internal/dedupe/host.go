package dedupe

// Host identifies one incarnation of an entry host that can hold keys.
type Host struct {
	// ID is the host's id.
	ID string
	// Incarnation distinguishes restarts of the host. A restarted host has lost its records.
	Incarnation uint64
	// Site is the host's data centre.
	Site string
}
