package slot

import "time"

// Grant assigns one slot of a target to a request until Release or Abandon.
type Grant struct {
	ID ID
	// Target is the target's name.
	Target string
}

// Reason is why a request was refused. A refused request was not sent to any target.
type Reason uint8

// Reasons.
const (
	// NotRefused is the zero value.
	NotRefused Reason = iota
	// QueueFull means that the queue has reached its limit.
	QueueFull
	// DeadlineUnreachable means that the expected wait is too long for the request's deadline.
	DeadlineUnreachable
	// FairShare means that the queue is full and the request's caller has more waiting than others.
	FairShare
	// NoTarget means that the group has no target that takes new work.
	NoTarget
	// Expired means that the request can no longer be answered by its deadline.
	Expired
	// Duplicate means that a request with the same ID already waits or holds a slot.
	Duplicate
	// NoSlot means that a request with NoWait found no free slot.
	NoSlot
)

var reasonNames = [...]string{
	"not-refused", "queue-full", "deadline-unreachable", "fair-share", "no-target", "expired", "duplicate", "no-slot",
}

// String returns the reason's name in kebab case.
func (r Reason) String() string { return reasonNames[r] }

// Refusal is the end of a request that got no slot.
type Refusal struct {
	ID     ID
	Reason Reason
	// RetryAfter is the time after which the same request is expected to be admitted.
	RetryAfter time.Duration
}

// Verdict is the immediate outcome of Acquire.
type Verdict uint8

// Verdicts.
const (
	// Granted means that Result.Grant is valid.
	Granted Verdict = iota
	// Queued means that the request waits. A later call returns its Grant or Refusal.
	Queued
	// Refused means that Result.Refusal is valid.
	Refused
)

// String returns the verdict's lower-case name.
func (v Verdict) String() string { return [...]string{"granted", "queued", "refused"}[v] }

// Result is the result of Acquire. Verdict decides which of the other fields is valid.
type Result struct {
	Verdict Verdict
	Grant   Grant
	Refusal Refusal
}
