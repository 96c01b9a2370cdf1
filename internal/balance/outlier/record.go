package outlier

import "time"

// State is a target's standing.
type State uint8

// States of a target.
const (
	// Healthy targets take their full share.
	Healthy State = iota
	// Ejected targets take no work.
	Ejected
	// Probation targets take one request at a time until enough answers are good.
	Probation
)

// String returns the state's lower-case name.
func (s State) String() string {
	return [...]string{"healthy", "ejected", "probation"}[s]
}

// Record is what a Detector keeps of one target. The zero value is a healthy target.
type Record struct {
	state       State
	until       time.Time // end of the ejection
	ejectedAt   time.Time
	ejections   int // doublings of the ejection time
	failed      int // failures in a row
	broken      int // refused or broken connections in a row
	good        int // good answers in probation
	answers     int
	failureRate float64
	slowRate    float64
	bad         bool // counts towards the panic threshold
}

// State returns the target's standing.
func (r *Record) State() State { return r.state }

// EjectedUntil returns the end of the ejection. It is meaningful for ejected targets.
func (r *Record) EjectedUntil() time.Time { return r.until }

// FailureRate returns the exponentially weighted share of answers that failed, 0 to 1.
func (r *Record) FailureRate() float64 { return r.failureRate }
