package queue

import "time"

// Class separates requests by how long they hold a slot.
type Class uint8

// Classes of requests.
const (
	// Short requests never wait for a slot that long requests hold beyond their limit.
	Short Class = iota
	// Long requests are guaranteed a share of the slots. Their number of slots is limited to leave
	// slots for short requests.
	Long
	numClasses
)

// String returns the class's lower-case name.
func (c Class) String() string {
	if c == Long {
		return "long"
	}
	return "short"
}

// Item is one waiting request.
type Item struct {
	// ID is unique among the waiting requests.
	ID uint64
	// Caller is the caller to which the request's cost is charged.
	Caller string
	// Weight is the caller's fair share relative to other callers. Zero means 1.
	Weight float64
	// Class is Short or Long.
	Class Class
	// Cost is the time that the request is expected to hold a slot. Zero means Config.DefaultCost.
	Cost time.Duration
	// Arrived is when the request began to wait.
	Arrived time.Time
	// Deadline is when the response is due. The zero time means no deadline.
	Deadline time.Time
	// Retry reports whether the request has been sent before.
	Retry bool
	// Route is the name of the request's route.
	Route string
	// Avoid lists the names of the targets that the request should not be sent to.
	Avoid []string
}

// node links an item into its flow and the expiry heap.
type node struct {
	item    Item
	expires time.Time // latest time at which the request may start
	flow    *flow
	prev    *node
	next    *node
	index   int // position in the expiry heap, -1 when absent
}
