package slot

import "time"

// Outcome is how a request on a target ended.
type Outcome uint8

// Outcomes.
const (
	// OK is a complete answer that reports no failure of the server.
	OK Outcome = iota
	// Failed is an answer that reports a failure of the server (5xx).
	Failed
	// Shed is an explicit overload answer. The server did not run the request.
	Shed
	// TimedOut means that no answer arrived before the deadline.
	TimedOut
	// Broken means that the connection failed before the complete answer was read.
	Broken
	// Cancelled means that the caller cancelled the request or that its hedged copy was answered first.
	Cancelled
	// ConnectRefused means that no connection could be opened. The server did not run the request.
	ConnectRefused
)

var outcomeNames = [...]string{"ok", "failed", "shed", "timed-out", "broken", "cancelled", "connect-refused"}

// String returns the outcome's name in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Report is the outcome of a request on a target, with the load that the target reported. Unknown load figures
// are negative.
type Report struct {
	Outcome Outcome
	// Latency is the time from sending the request to the end of the answer. Zero means the time since the
	// grant.
	Latency time.Duration
	// Utilization is the load that the target reported with the answer. 1 is full, a negative value is unknown.
	Utilization float64
	// InFlight is the number of running requests that the target reported. A negative value is unknown.
	InFlight int
	// Draining reports whether the target announced with the answer that it drains.
	Draining bool
}

// ReportWithoutLoad returns a report with the outcome and latency and without load figures.
func ReportWithoutLoad(o Outcome, latency time.Duration) Report {
	return Report{Outcome: o, Latency: latency, Utilization: -1, InFlight: -1}
}
