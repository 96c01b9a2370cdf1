package admission

import (
	"math"
	"time"
)

// Request is a request for a service, as the queue sees it.
type Request struct {
	// Priority is the class of the request; 0 is the most urgent.
	Priority int
	// Caller is the workspace that the request is charged to, or empty.
	Caller string
	// Weight is the fair share of the caller relative to other callers. Values of zero and less mean 1.
	Weight float64
	// Share is the fraction of all requests that the caller may send before its demand counts as a flood. Zero means that
	// it never does, as for callers whose rate is limited otherwise.
	Share float64
	// Work is the expected running time on an average server without other load.
	Work time.Duration
	// ObjectiveEnd is the time until which a response has its full value.
	ObjectiveEnd time.Time
	// Urgency replaces ObjectiveEnd in the order of requests that are otherwise equal. For the retry of a caller it is
	// the end of the objective of the first request, so that new requests don't overtake the retry. The zero time means
	// ObjectiveEnd.
	Urgency time.Time
	// Deadline is the time by which the response is due.
	Deadline time.Time
	// Restricted marks a request that may use only a part of the servers.
	Restricted bool
	// Resent marks a request that this host has sent before. It isn't counted again as demand.
	Resent bool
}

// Entry is a request in a Queue.
type Entry struct {
	Request
	sequence uint64
	arrived  time.Time
	searched bool          // a search has found no acceptable server
	late     bool          // it can't meet its objective
	starved  bool          // its class is served too seldom
	share    int           // how far its caller is ahead of its fair share, in units of shareGrain
	ahead    time.Duration // work of the requests before it
	position int           // position in the order
}

// urgency returns the time that the entry is sorted by. Half of the work is added, so that of two requests with about
// the same slack the shorter one comes first.
func (e *Entry) urgency() time.Time {
	end := e.Urgency
	if end.IsZero() {
		end = e.ObjectiveEnd
	}
	return end.Add(e.Work / 2)
}

// Action is what to do with a request now.
type Action uint8

// Actions.
const (
	// Wait means that the request waits.
	Wait Action = iota
	// Search means that the request looks for a server.
	Search
	// Refuse means that the request is refused.
	Refuse
)

// Reason is why a request is refused.
type Reason string

// Reasons.
const (
	// NoRoom means that the requests ahead take too long for it to meet its deadline.
	NoRoom Reason = "no-room"
	// Late means that it can't meet its objective, and no capacity was left over for it.
	Late Reason = "late"
	// DeadlineMissed means that it can't meet its deadline on any server.
	DeadlineMissed Reason = "deadline"
	// Full means that too many requests wait.
	Full Reason = "queue-full"
)

// Decision is the decision on a request, with its inputs.
type Decision struct {
	Action Action
	// Reason is set if Action is Refuse.
	Reason Reason
	// Late reports whether the request can't meet its objective.
	Late bool
	// Spare is the fraction of a server's slots that must stay free when the request has taken one. It is left to the
	// requests of other hosts that are worth more.
	Spare float64
	// QueueLimit is the number of requests, this one included, that may wait in a server's queue by the expected load.
	QueueLimit float64
	// Short reports whether the service is short of capacity.
	Short bool
	// Position is the number of requests before this one.
	Position int
	// Waiting is the number of requests that wait, Ahead the work before the request, and ExpectedWait the time until it
	// starts.
	Waiting      int
	Ahead        time.Duration
	ExpectedWait time.Duration
	// Rate is the work that the host gets done at the service, in seconds of work per second.
	Rate float64
	// RetryAfter is the time after which a refused request would find room.
	RetryAfter time.Duration
}

// MaxLoad returns the expected number of requests at a server with the given number of slots up to which the request may
// be sent there. There is no limit without a shortage. A server that is expected to have a free slot is never too full for
// requests that needn't leave any free.
func (d *Decision) MaxLoad(slots int) float64 {
	if !d.Short {
		return math.Inf(1)
	}
	return float64(slots)*(1-d.Spare) + max(d.QueueLimit-1, -0.5)
}
