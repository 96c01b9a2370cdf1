package dedupe

// Run names one run that an entry host asked for. It is unique over all hosts and restarts.
type Run struct {
	// Origin is the entry host that took the request from the caller.
	Origin string
	// Incarnation is the taker's incarnation.
	Incarnation uint64
	// Sequence counts the runs of the incarnation.
	Sequence uint64
}
