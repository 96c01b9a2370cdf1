package outcome

import "sync"

// Request tracks the attempts of one caller's request, including retries and hedges. Its methods
// are safe for concurrent use. No other lock is taken while mu is held.
type Request struct {
	atMostOnce bool // immutable

	mu       sync.Mutex // guards the fields below
	attempts []*Attempt
	winner   *Attempt // the attempt whose response goes to the caller
	sealed   bool
	result   Result // valid once sealed
}

// Option sets a property of a new Request.
type Option func(*Request)

// AtMostOnce makes MarkSent fail for any attempt that could run the request a second time. It is
// meant for requests that are not idempotent.
func AtMostOnce() Option { return func(r *Request) { r.atMostOnce = true } }

// NewRequest returns a request without attempts.
func NewRequest(opts ...Option) *Request {
	r := &Request{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// NewAttempt adds an attempt in phase Planned. It returns a SealedError once the result is decided.
func (r *Request) NewAttempt() (*Attempt, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return nil, &SealedError{Result: r.result}
	}
	a := &Attempt{request: r}
	r.attempts = append(r.attempts, a)
	return a, nil
}

// Decide seals the request and returns its result. The first call determines the result; later
// calls return the same one. Once the request is sealed, MarkSent fails for every attempt, so NotRun
// stays true even if the goroutine of an attempt is delayed.
func (r *Request) Decide() Result {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed {
		return r.result
	}
	r.sealed = true
	r.result = r.deriveResult()
	return r.result
}

// Winner returns the attempt whose response goes to the caller, or nil if there is none.
func (r *Request) Winner() *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner
}

// MayRetry reports whether a further attempt may be sent. It returns false if the request is decided
// or answered, or if it must run at most once and may have run already.
func (r *Request) MayRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed || r.winner != nil {
		return false
	}
	_, found := r.mayHaveRun()
	return !found || !r.atMostOnce
}

// deriveResult returns the result that follows from the attempts. The caller must hold mu.
func (r *Request) deriveResult() Result {
	if r.winner != nil {
		return Answered
	}
	if _, found := r.mayHaveRun(); found {
		return Unknown
	}
	return NotRun
}

// mayHaveRun reports whether a backend server may have run the request, and returns the phase of the
// first such attempt. The caller must hold mu.
func (r *Request) mayHaveRun() (Phase, bool) {
	for _, a := range r.attempts {
		if !a.phase.excludesRun() {
			return a.phase, true
		}
	}
	return 0, false
}

// NewRequestWithIdempotency returns a request without attempts. It has the option AtMostOnce unless
// it is idempotent.
func NewRequestWithIdempotency(idempotent bool) *Request {
	if idempotent {
		return NewRequest()
	}
	return NewRequest(AtMostOnce())
}
