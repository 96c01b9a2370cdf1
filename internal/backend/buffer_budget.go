package backend

import "sync/atomic"

// uncountedBytes is the size up to which a buffer doesn't count against the budget, so that large responses can't keep
// out small ones.
const uncountedBytes = 64 << 10

// bufferBudget limits the memory for all responses that are being read or written. It is safe for concurrent use.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// charge is what one buffer counts against a budget. It is not safe for concurrent use.
type charge struct {
	budget  *bufferBudget
	counted int
}

// set changes the size of the buffer. It reports whether the budget permits it; a smaller size is always permitted.
func (c *charge) set(size int) bool {
	counted := max(size-uncountedBytes, 0)
	n := int64(counted - c.counted)
	if c.budget.used.Add(n) > c.budget.limit && n > 0 {
		c.budget.used.Add(-n)
		return false
	}
	c.counted = counted
	return true
}
