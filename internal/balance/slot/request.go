package slot

import "time"

// ID identifies a request in its group. The user of the package chooses it. It must be unique among the
// requests that wait or hold a slot.
type ID uint64

// Request describes a request for a slot.
type Request struct {
	ID ID
	// Caller is the party that the request counts against in fair queueing.
	Caller string
	// Weight is the caller's fair share relative to others. Zero means 1.
	Weight float64
	// Route names the request's route. Running times are tracked per route.
	Route string
	// Long marks a request that is expected to hold its slot for a long time.
	Long bool
	// Cost is the expected running time. Zero means the group's own estimate.
	Cost time.Duration
	// Deadline is when the answer is due. The zero time means never.
	Deadline time.Time
	// Retry marks a repetition of a request that was sent before.
	Retry bool
	// NoWait makes the group refuse the request with NoSlot instead of queueing it, as fits a hedged request.
	NoWait bool
	// Avoid names targets that the request is sent to only when no other target takes new work.
	Avoid []string
}
