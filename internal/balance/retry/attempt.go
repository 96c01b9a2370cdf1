package retry

import "time"

// Failure is the way in which an attempt failed.
type Failure uint8

// Ways in which an attempt fails.
const (
	// ConnectFailed means that no connection could be opened.
	ConnectFailed Failure = iota
	// Overload means that the target shed the request with an overload response.
	Overload
	// ServerError means that the response reports another failure of the target.
	ServerError
	// ConnectionLost means that the connection broke before the whole response was read.
	ConnectionLost
	// TimedOut means that there was no response in time.
	TimedOut
)

// FailedAttempt describes a failed attempt to send a request, and the conditions for another attempt.
type FailedAttempt struct {
	// Idempotent reports whether the request may safely be run twice.
	Idempotent bool
	// Failure is the way in which the attempt failed.
	Failure Failure
	// Sent reports whether at least one byte of the request was written to the connection.
	Sent bool
	// DeclaredNotRun reports whether, according to the service's configuration, the response means that
	// the request was not run.
	DeclaredNotRun bool
	// ReceivedAsRetry reports whether the request was received with the mark of a retry by a level of the
	// call nearer to the client.
	ReceivedAsRetry bool
	// ResponseRetried reports whether the response is marked as already retried by a level of the call
	// farther from the client.
	ResponseRetried bool
	// Attempts is the number of attempts so far.
	Attempts int
	// OtherTargets is the number of targets that the request has not been sent to.
	OtherTargets int
	// Deadline is when the response is due. The zero time means no deadline.
	Deadline time.Time
	// ExpectedLatency is the expected latency of another attempt.
	ExpectedLatency time.Duration
}

// notRun reports whether the request has certainly not been run.
func (a *FailedAttempt) notRun() bool { return !a.Sent || a.DeclaredNotRun }

// retriedElsewhere reports whether another level of the call retries the request.
func (a *FailedAttempt) retriedElsewhere() bool { return a.ReceivedAsRetry || a.ResponseRetried }
