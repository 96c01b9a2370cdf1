package load

import "time"

// Verdict is the result of one request.
type Verdict uint8

// Verdicts of requests.
const (
	// Unsent means that the request was never sent, because too many requests were in flight.
	Unsent Verdict = iota
	// Answered means that a complete and matching response arrived before the deadline.
	Answered
	// Late means that the response was valid but arrived after the deadline.
	Late
	// NotRun means that the request was refused with the outcome not-run.
	NotRun
	// Unknown means that the response had the outcome unknown.
	Unknown
	// Failed means that a backend server responded with an error status, or that the balancer did so
	// without an outcome.
	Failed
	// ConnectionFailed means that the connection failed before the response was complete.
	ConnectionFailed
	// TimedOut means that no response arrived before the request was aborted.
	TimedOut
	// Corrupt means that a response appeared complete, but was truncated, altered or that of another
	// request.
	Corrupt

	verdictCount = iota
)

var verdictNames = [verdictCount]string{"unsent", "answered", "late", "not_run", "unknown", "failed", "broken", "timed_out", "corrupt"}

// String returns the name of the verdict in tables and JSON lines.
func (v Verdict) String() string { return verdictNames[v] }

// Sample is the measurement of one arrival.
type Sample struct {
	Arrival
	// Deadline is the maximum useful latency, from the intended time.
	Deadline time.Duration
	// Latency is the time from the intended arrival to the end of the last exchange.
	Latency time.Duration
	Verdict Verdict
	// Status is the status code of the last response, or 0 if there was none.
	Status int
	// Endpoint is the index of the endpoint that was tried last.
	Endpoint int
	// Server is the name of the backend server that responded. It may be empty.
	Server string
	// Detail is the Proxy-Status of a response that the balancer generated, or the error of an exchange
	// without a complete response.
	Detail string
	// Attempts is the number of times that the request was sent. Failed connections don't count.
	Attempts int
}

// CompletedAt returns the time of the response, from the start of the run.
func (s *Sample) CompletedAt() time.Duration { return s.At + s.Latency }

// PenalizedLatency returns the latency, but at least the deadline if there was no valid response in time.
func (s *Sample) PenalizedLatency() time.Duration {
	if s.Verdict == Answered {
		return s.Latency
	}
	return max(s.Latency, s.Deadline)
}
