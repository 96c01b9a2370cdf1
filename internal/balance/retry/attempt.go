package retry

import "time"

// Failure says how the first send failed.
type Failure uint8

// Failures.
const (
	// ConnectFailed means that no connection could be opened.
	ConnectFailed Failure = iota
	// Overload is an answer by which the target sheds load.
	Overload
	// ServerError is another answer that reports a failure of the target.
	ServerError
	// ConnectionLost means that the connection died before the whole answer was read.
	ConnectionLost
	// TimedOut means that no answer came in time.
	TimedOut
)

// FailedAttempt describes a failed send and what is left for another.
type FailedAttempt struct {
	// Idempotent tells that running the request twice is harmless.
	Idempotent bool
	// Failure says how the send failed.
	Failure Failure
	// Sent tells that at least one byte of the request was written to the connection.
	Sent bool
	// DeclaredNotRun tells that the answer is one that the service's configuration declares to mean
	// that the request was not run.
	DeclaredNotRun bool
	// ReceivedAsRetry tells that the request arrived marked as a second send of an upper level.
	ReceivedAsRetry bool
	// ResponseRetried tells that the answer is marked as retried by a lower level already.
	ResponseRetried bool
	// Attempts is the number of sends so far.
	Attempts int
	// OtherTargets is the number of targets that the request has not been sent to.
	OtherTargets int
	// Deadline is when the answer is due. The zero time means never.
	Deadline time.Time
	// ExpectedLatency is the expected running time.
	ExpectedLatency time.Duration
}

// notRun tells whether the request was certainly not run.
func (a *FailedAttempt) notRun() bool { return !a.Sent || a.DeclaredNotRun }

// marked tells whether another level sends the request a second time.
func (a *FailedAttempt) marked() bool { return a.ReceivedAsRetry || a.ResponseRetried }
