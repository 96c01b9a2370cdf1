package outcome

// Attempt is one attempt to have a backend server run a request. Its methods record transitions
// between phases; they do no I/O. They are safe for concurrent use. A method that returns an error
// has changed nothing.
type Attempt struct {
	request *Request
	phase   Phase // guarded by request.mu
}

// MarkBegun records that a connection is being obtained for the attempt. It returns a SealedError
// once the request is decided.
func (a *Attempt) MarkBegun() error {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	if a.request.sealed {
		return &SealedError{Result: a.request.result}
	}
	return a.transition(Begun, Planned)
}

// MarkSent must be called before the first byte of the request is written to the connection. If it
// returns an error, no byte may be written.
func (a *Attempt) MarkSent() error {
	r := a.request
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return &SealedError{Result: r.result}
	}
	if a.phase != Begun {
		return &TransitionError{From: a.phase, To: Sent}
	}
	if other, found := r.mayHaveRun(); found && r.atMostOnce {
		return &SecondRunError{Other: other}
	}
	a.phase = Sent
	return nil
}

// MarkRefused records that the backend server declared, in a complete response, that it did not run
// the request.
func (a *Attempt) MarkRefused() error {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.transition(Refused, Sent)
}

// MarkComplete records that a complete response was read. It returns true for the first attempt that
// completes before the request is decided. Only the response of that attempt may go to the caller.
func (a *Attempt) MarkComplete() (bool, error) {
	r := a.request
	r.mu.Lock()
	defer r.mu.Unlock()
	if err := a.transition(Complete, Sent); err != nil {
		return false, err
	}
	if r.sealed || r.winner != nil {
		return false, nil
	}
	r.winner = a
	return true, nil
}

// MarkFailed records that the attempt ended without a complete response. The attempt becomes Broken if
// it is Sent, and Unsent if it is Planned or Begun.
func (a *Attempt) MarkFailed() error {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	if a.phase == Sent {
		return a.transition(Broken, Sent)
	}
	return a.transition(Unsent, Planned, Begun)
}

// Phase returns the attempt's current phase.
func (a *Attempt) Phase() Phase {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.phase
}

// transition moves the attempt to the phase to if it is in one of the phases from. The caller must
// hold request.mu.
func (a *Attempt) transition(to Phase, from ...Phase) error {
	for _, f := range from {
		if a.phase == f {
			a.phase = to
			return nil
		}
	}
	return &TransitionError{From: a.phase, To: to}
}
