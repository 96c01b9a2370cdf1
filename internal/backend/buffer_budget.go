package backend

import "sync/atomic"

// uncountedBytes is the size up to which a response doesn't count against the budget, so that large responses can't keep
// out small ones.
const uncountedBytes = 64 << 10

// bufferBudget limits the bytes of all responses that are being read. It is safe for concurrent use.
type bufferBudget struct {
	limit int64
	used  atomic.Int64
}

// take counts n more bytes of a response that has total bytes with them, and reports whether the budget permits them.
// It returns the number of bytes to release later.
func (b *bufferBudget) take(n, total int) (counted int, ok bool) {
	counted = min(n, total-uncountedBytes)
	if counted <= 0 {
		return 0, true
	}
	if b.used.Add(int64(counted)) > b.limit {
		b.used.Add(-int64(counted))
		return 0, false
	}
	return counted, true
}

// release returns counted bytes to the budget.
func (b *bufferBudget) release(counted int) { b.used.Add(-int64(counted)) }
