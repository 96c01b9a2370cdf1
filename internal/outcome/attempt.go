package outcome

// Attempt is one try to have a backend server run a request. Its methods are safe for concurrent
// use. A method that returns an error has changed nothing.
type Attempt struct {
	request *Request
	phase   Phase // guarded by request.mu
}

// MarkBegun says that a connection is being obtained for the attempt.
func (a *Attempt) MarkBegun() error {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	if a.request.sealed {
		return &SealedError{Result: a.request.result}
	}
	return a.transition(Begun, Planned)
}

// MarkSent asks for leave to hand the first byte of the request to the kernel. It must be called before
// the write. When it returns an error nothing may be written.
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

// MarkRefused says that the backend server declared, in a whole answer, that it did not run the request.
func (a *Attempt) MarkRefused() error {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.transition(Refused, Sent)
}

// MarkComplete says that a whole answer was read. It returns true for the first attempt of the request
// that does so before the request is decided; only that attempt's answer may go to the caller.
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

// MarkFailed says that the attempt ended without a whole answer. Before the first byte this leaves the
// attempt Unsent, after it Broken.
func (a *Attempt) MarkFailed() error {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	if a.phase == Sent {
		return a.transition(Broken, Sent)
	}
	return a.transition(Unsent, Planned, Begun)
}

// Phase returns the attempt's present phase.
func (a *Attempt) Phase() Phase {
	a.request.mu.Lock()
	defer a.request.mu.Unlock()
	return a.phase
}

// transition moves the attempt to the phase to if it is in one of the phases from.
func (a *Attempt) transition(to Phase, from ...Phase) error {
	for _, f := range from {
		if a.phase == f {
			a.phase = to
			return nil
		}
	}
	return &TransitionError{From: a.phase, To: to}
}
