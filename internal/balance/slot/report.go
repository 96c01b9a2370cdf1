package slot

import "time"

// Outcome says how a request on a target ended.
type Outcome uint8

// Outcomes.
const (
	// OK is a whole answer that reports no failure of the server.
	OK Outcome = iota
	// Failed is an answer that reports a failure of the server (5xx).
	Failed
	// Shed is an explicit overload answer; the request was not run.
	Shed
	// TimedOut means that no answer came before the deadline.
	TimedOut
	// Broken means that the connection died before the whole answer was read.
	Broken
	// Cancelled means that the request was given up by its caller or lost against its hedge.
	Cancelled
	// ConnectRefused means that no connection could be opened; the request was not run.
	ConnectRefused
)

var outcomeNames = [...]string{"ok", "failed", "shed", "timed-out", "broken", "cancelled", "connect-refused"}

// String returns the outcome's name in kebab case.
func (o Outcome) String() string { return outcomeNames[o] }

// Report tells what a request on a target learnt. Unknown load figures are negative.
type Report struct {
	Outcome Outcome
	// Latency is the time from sending the request to the end of the answer. Zero lets the group
	// use the time since the grant.
	Latency time.Duration
	// Utilization is the load that the target reported with the answer, 1 meaning full; negative
	// when absent.
	Utilization float64
	// InFlight is the number of requests that the target reported to be running; negative when absent.
	InFlight int
	// Draining tells that the target announced with the answer that it is leaving.
	Draining bool
}

// ReportWithoutLoad returns a report of the outcome without load figures.
func ReportWithoutLoad(o Outcome, latency time.Duration) Report {
	return Report{Outcome: o, Latency: latency, Utilization: -1, InFlight: -1}
}
