package queue

import "time"

// Reason is the reason why a request was refused.
type Reason uint8

// Reasons of a refusal.
const (
	// None means that the request was not refused.
	None Reason = iota
	// Full means that the queue has reached its limit.
	Full
	// DeadlineUnreachable means that the estimated wait is too long for the deadline.
	DeadlineUnreachable
	// FairShare means that the queue is full and no caller has more waiting work per weight.
	FairShare
	// Expired means that the request waited until it could no longer be answered by its deadline.
	Expired
)

// Refusal holds a refused request and the reason. The zero value means that no request was refused.
type Refusal struct {
	Item   Item
	Reason Reason
	// RetryAfter is the time after which the request is expected to be admitted.
	RetryAfter time.Duration
}
