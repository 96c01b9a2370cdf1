package outcome

// Phase is the state of one attempt.
type Phase uint8

// Phases of an attempt, in the order in which an attempt passes them.
const (
	// Planned attempts exist but have no connection.
	Planned Phase = iota
	// Begun attempts hold a connection or are opening one; no byte of the request was written.
	Begun
	// Sent attempts may have handed a byte of the request to the kernel.
	Sent
	// Unsent attempts ended before the first byte.
	Unsent
	// Refused attempts were declared not run by the backend server.
	Refused
	// Complete attempts ended with a whole answer.
	Complete
	// Broken attempts ended after the first byte without a whole answer.
	Broken
)

var phaseNames = [...]string{"planned", "begun", "sent", "unsent", "refused", "complete", "broken"}

// String returns the phase's lower-case name.
func (p Phase) String() string { return phaseNames[p] }

// excludesRun tells that a request can't have run, and can't run later, through an attempt that ends
// in this phase, provided that the request is sealed.
func (p Phase) excludesRun() bool {
	switch p {
	case Planned, Begun, Unsent, Refused:
		return true
	default:
		return false
	}
}
