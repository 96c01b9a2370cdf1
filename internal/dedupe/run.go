package dedupe

// Run identifies a run requested by an entry host. It is unique across all hosts and restarts.
type Run struct {
	// Origin is the id of the entry host that received the request from the caller.
	Origin string
	// Incarnation is the incarnation of the origin.
	Incarnation uint64
	// Sequence is the number of the run within the incarnation, from 1.
	Sequence uint64
}
