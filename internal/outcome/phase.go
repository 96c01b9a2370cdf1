package outcome

// Phase is the phase of one attempt.
type Phase uint8

// Phases of an attempt. An attempt passes through Planned, Begun and Sent in this order; the others
// are final.
const (
	// Planned attempts exist but have no connection.
	Planned Phase = iota
	// Begun attempts hold a connection or are opening one. No byte of the request was written.
	Begun
	// Sent attempts may have written a byte of the request to the connection.
	Sent
	// Unsent attempts ended before the first byte was written.
	Unsent
	// Refused attempts ended with the backend server's statement that it did not run the request.
	Refused
	// Complete attempts ended with a complete response.
	Complete
	// Broken attempts ended after the first byte was written, without a complete response.
	Broken
)

var phaseNames = [...]string{"planned", "begun", "sent", "unsent", "refused", "complete", "broken"}

// String returns the name of the phase in lower case.
func (p Phase) String() string { return phaseNames[p] }

// excludesRun reports whether a request can't have run through an attempt in this phase. If the
// request is sealed, it can't run through that attempt later either.
func (p Phase) excludesRun() bool {
	switch p {
	case Planned, Begun, Unsent, Refused:
		return true
	default:
		return false
	}
}
