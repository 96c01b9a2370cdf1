package load

import "time"

// Verdict is what came of one request.
type Verdict uint8

// Verdicts.
const (
	// Unsent requests were never sent, because too many were in flight.
	Unsent Verdict = iota
	// Answered requests got a whole answer that belongs to them, in time.
	Answered
	// Late requests got their answer after the class's deadline.
	Late
	// NotRun requests were refused with the outcome not-run.
	NotRun
	// Unknown requests were answered with the outcome unknown.
	Unknown
	// Failed requests were answered with an error status of a backend server, or by the balancer
	// without an outcome.
	Failed
	// ConnectionFailed requests got no whole answer: the connection failed.
	ConnectionFailed
	// TimedOut requests got no answer before they were given up.
	TimedOut
	// Corrupt requests got an answer that is not theirs or not whole, shown as whole.
	Corrupt

	verdictCount = iota
)

var verdictNames = [verdictCount]string{"unsent", "answered", "late", "not_run", "unknown", "failed", "broken", "timed_out", "corrupt"}

// String returns the verdict's name in JSON lines.
func (v Verdict) String() string { return verdictNames[v] }

// Sample is the measurement of one arrival.
type Sample struct {
	Arrival
	// Deadline is the latest useful time of the answer, from the intended time.
	Deadline time.Duration
	// Latency runs from the intended time to the end of the last answer.
	Latency time.Duration
	Verdict Verdict
	// Status is the last answer's status code, 0 without one.
	Status int
	// Endpoint is the index of the entry host that was tried last.
	Endpoint int
	// Server is the name of the backend server that answered. It may be empty.
	Server string
	// Detail is the Proxy-Status of an answer that the balancer made itself, or the error of an
	// exchange that brought no whole answer.
	Detail string
	// Attempts is the number of times the request was sent.
	Attempts int
}

// CompletedAt returns the time of the answer, from the start of the run.
func (s *Sample) CompletedAt() time.Duration { return s.At + s.Latency }

// PenalizedLatency returns the time that the request cost its caller: the latency, but at least the deadline
// when there was no right answer in time.
func (s *Sample) PenalizedLatency() time.Duration {
	if s.Verdict == Answered {
		return s.Latency
	}
	return max(s.Latency, s.Deadline)
}
