package kv

import "sync"

// CallKind classifies calls for counting.
type CallKind string

// Kinds of calls. A watch counts once, when it arrives.
const (
	CallGet     CallKind = "get"
	CallWatch   CallKind = "watch"
	CallPut     CallKind = "put"
	CallCAS     CallKind = "cas"
	CallLock    CallKind = "lock"
	CallDelete  CallKind = "delete"
	CallSession CallKind = "session"
)

func (k CallKind) isWrite() bool { return k != CallGet && k != CallWatch }

// CallCounter counts calls by kind. It is safe for concurrent use.
type CallCounter struct {
	mu     sync.Mutex
	counts CallCounts
}

// CallCounts are the counts of a CallCounter, as returned by GET /store/calls.
type CallCounts struct {
	// ByKind counts all calls by kind, including rate-limited ones.
	ByKind map[CallKind]uint64 `json:"by_kind"`
	// Reads and Writes are the total numbers of calls that read and that write.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Limited counts calls that a rate limit rejected.
	Limited uint64 `json:"limited"`
	// Waiting is the number of watches that are waiting for a change.
	Waiting int `json:"waiting"`
}

func (c *CallCounter) add(kind CallKind) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.counts.ByKind == nil {
		c.counts.ByKind = map[CallKind]uint64{}
	}
	c.counts.ByKind[kind]++
	if kind.isWrite() {
		c.counts.Writes++
	} else {
		c.counts.Reads++
	}
}

func (c *CallCounter) addLimited() {
	c.mu.Lock()
	c.counts.Limited++
	c.mu.Unlock()
}

func (c *CallCounter) addWaiting(change int) {
	c.mu.Lock()
	c.counts.Waiting += change
	c.mu.Unlock()
}

// Counts returns a copy of the counts.
func (c *CallCounter) Counts() CallCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := c.counts
	out.ByKind = make(map[CallKind]uint64, len(c.counts.ByKind))
	for kind, n := range c.counts.ByKind {
		out.ByKind[kind] = n
	}
	return out
}
