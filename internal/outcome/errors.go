package outcome

import "fmt"

// TransitionError reports a transition that the attempt's phase does not allow.
type TransitionError struct {
	// From is the attempt's current phase.
	From Phase
	// To is the requested phase.
	To Phase
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("attempt can't go from %s to %s", e.From, e.To)
}

// SealedError reports that the request's result is decided and nothing more may be sent for it.
type SealedError struct {
	// Result is the decided result.
	Result Result
}

// Error implements error.
func (e *SealedError) Error() string {
	return fmt.Sprintf("request is already decided: %s", e.Result)
}

// SecondRunError reports that sending could run a request twice that must run at most once.
type SecondRunError struct {
	// Other is the phase of the earlier attempt through which the request may have run.
	Other Phase
}

// Error implements error.
func (e *SecondRunError) Error() string {
	return fmt.Sprintf("request may already have run: an earlier attempt is %s", e.Other)
}
