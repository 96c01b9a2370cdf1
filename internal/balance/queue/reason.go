package queue

import "time"

// Reason says why a request was refused.
type Reason uint8

// Reasons.
const (
	// None means that the request was not refused.
	None Reason = iota
	// Full means that the queue holds its limit of requests.
	Full
	// DeadlineUnreachable means that the expected wait is too long for the deadline.
	DeadlineUnreachable
	// FairShare means that the queue is full and the caller has more waiting than others.
	FairShare
	// Expired means that the request waited until it could not be answered in time.
	Expired
)

// Refusal is a refused request.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the time after which the same request is expected to be admitted.
	RetryAfter time.Duration
}
