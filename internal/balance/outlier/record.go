package outlier

import "time"

// State is the state of a target.
type State uint8

// States of a target.
const (
	// Healthy targets get their full share of requests.
	Healthy State = iota
	// Ejected targets get no requests.
	Ejected
	// Probation targets get one request at a time until enough of them succeed.
	Probation
)

// String returns the state's lower-case name.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "probation"}[s]
}

// Record holds a Detector's state of one target. The zero value is a healthy target.
type Record struct {
	state                   State
	ejectedUntil            time.Time
	lastBackoffChange       time.Time // last ejection or last undone doubling
	doublings               int       // doublings of the ejection time
	failureStreak           int       // consecutive failures of either kind
	connectionFailureStreak int       // consecutive connection failures
	probationSuccesses      int
	results                 int // results since the state last became Healthy or Probation
	failureRate             float64
	slowRate                float64 // share of successes that were slow
	degraded                bool    // counts toward the panic threshold
}

// State returns the target's state.
func (r *Record) State() State { return r.state }

// EjectedUntil returns the end of the ejection. It is only meaningful for ejected targets.
func (r *Record) EjectedUntil() time.Time { return r.ejectedUntil }

// FailureRate returns the exponentially weighted share of requests that failed, 0 to 1.
func (r *Record) FailureRate() float64 { return r.failureRate }
