package outcome

import "sync"

// Request collects the attempts, retries and hedges included, that are made for one request of a
// caller. Its methods are safe for concurrent use. Its lock is a leaf.
type Request struct {
	atMostOnce bool

	mu       sync.Mutex
	attempts []*Attempt
	winner   *Attempt
	sealed   bool
	result   Result // valid once sealed
}

// Option sets a property of a new Request.
type Option func(*Request)

// AtMostOnce makes Send refuse any attempt that could run the request a second time. It is meant
// for requests that are not idempotent.
func AtMostOnce() Option { return func(r *Request) { r.atMostOnce = true } }

// NewRequest returns a request without attempts.
func NewRequest(opts ...Option) *Request {
	r := &Request{}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// NewAttempt adds an attempt. It fails with SealedError once the result is decided.
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

// Decide seals the request and returns its result. The first call decides; later calls return the
// same result. After it no attempt gets leave to send, so that NotRun stays true whatever a delayed
// goroutine does.
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

// Winner returns the attempt whose answer goes to the caller, or nil.
func (r *Request) Winner() *Attempt {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.winner
}

// MayRetry tells whether a further attempt of a request that must run at most once could be sent.
func (r *Request) MayRetry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.sealed || r.winner != nil {
		return false
	}
	_, found := r.mayHaveRun()
	return !found || !r.atMostOnce
}

func (r *Request) deriveResult() Result {
	if r.winner != nil {
		return Answered
	}
	if _, found := r.mayHaveRun(); found {
		return Unknown
	}
	return NotRun
}

// mayHaveRun returns the phase of the first attempt that a backend server may have run.
func (r *Request) mayHaveRun() (Phase, bool) {
	for _, a := range r.attempts {
		if !a.phase.excludesRun() {
			return a.phase, true
		}
	}
	return 0, false
}

// NewRequestWithIdempotency returns a request that may run more than once only when it is idempotent.
func NewRequestWithIdempotency(idempotent bool) *Request {
	if idempotent {
		return NewRequest()
	}
	return NewRequest(AtMostOnce())
}
