package dedupe

// State is the state of a run as its holder knows it.
type State uint8

// States of a run. Of two reports about the same run, the one with the higher state is kept.
const (
	// InFlight runs may still be running.
	InFlight State = iota + 1
	// UnknownResult runs ended, or passed their deadline, without a known result.
	UnknownResult
	// Erased runs were reported as not run. Their key may be used again.
	Erased
	// Finished runs have a response.
	Finished
)
