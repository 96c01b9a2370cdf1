package backend

import (
	"bytes"
	"sync"
	"time"
)

// receiveBuffer passes bytes from the read loop of a connection to its single reader. No other lock is acquired while
// mu is held.
type receiveBuffer struct {
	limit   int           // maximum number of bytes between two resets
	budget  *bufferBudget // shared by all connections
	changed chan struct{} // has one element if the state may have changed since the last wait

	mu           sync.Mutex
	buf          bytes.Buffer
	total        int // bytes received since the last reset
	counted      int // bytes of them that count against the budget
	headLeft     int // bytes that Read may still return before ErrHeaderTooLarge; negative for no limit
	err          error
	stallTimeout time.Duration // maximum wait of a Read; zero means no limit
}

func newReceiveBuffer(limit int, budget *bufferBudget) *receiveBuffer {
	return &receiveBuffer{limit: limit, budget: budget, headLeft: -1, changed: make(chan struct{}, 1)}
}

// reset prepares the buffer for the next response and reports whether the connection may be used.
func (b *receiveBuffer) reset() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
	b.stallTimeout = 0
	select {
	case <-b.changed:
	default:
	}
	return b.err == nil && b.buf.Len() == 0
}

// release ends the count of the bytes received since the last reset.
func (b *receiveBuffer) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.releaseLocked()
}

func (b *receiveBuffer) releaseLocked() {
	b.budget.release(b.counted)
	b.total, b.counted = 0, 0
}

// push appends data. It returns an error if the size limit or the budget doesn't permit it.
func (b *receiveBuffer) push(data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total += len(data)
	if b.total > b.limit {
		return ErrResponseTooLarge
	}
	counted, ok := b.budget.take(len(data), b.total)
	if !ok {
		return ErrBuffersFull
	}
	b.counted += counted
	b.buf.Write(data)
	b.notify()
	return nil
}

// limitHead makes Read fail with ErrHeaderTooLarge after n more bytes. A negative n ends the limit.
func (b *receiveBuffer) limitHead(n int) {
	b.mu.Lock()
	b.headLeft = n
	b.mu.Unlock()
}

// closeWithError makes Read return err after the buffered bytes. Only the first call has an effect.
func (b *receiveBuffer) closeWithError(err error) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.notify()
}

// notify wakes the reader.
func (b *receiveBuffer) notify() {
	select {
	case b.changed <- struct{}{}:
	default:
	}
}

// setStallTimeout limits the wait of each subsequent Read. Zero means no limit.
func (b *receiveBuffer) setStallTimeout(d time.Duration) {
	b.mu.Lock()
	b.stallTimeout = d
	b.mu.Unlock()
}

// headLimitReached reports whether a Read failed, or would fail, with ErrHeaderTooLarge.
func (b *receiveBuffer) headLimitReached() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.headLeft == 0
}

// Read implements io.Reader. It returns ErrStalled if nothing arrives within the stall timeout.
func (b *receiveBuffer) Read(p []byte) (int, error) {
	for {
		n, stall, err := b.tryRead(p)
		if n > 0 || err != nil {
			return n, err
		}
		if !b.wait(stall) {
			return 0, ErrStalled
		}
	}
}

// tryRead reads buffered bytes without blocking. If there are none, it returns the stall timeout and the error, if any.
func (b *receiveBuffer) tryRead(p []byte) (n int, stall time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.headLeft == 0 {
		return 0, 0, ErrHeaderTooLarge
	}
	if b.buf.Len() > 0 {
		if b.headLeft > 0 {
			p = p[:min(len(p), b.headLeft)]
		}
		n, _ = b.buf.Read(p)
		if b.headLeft > 0 {
			b.headLeft -= n
		}
		return n, 0, nil
	}
	return 0, b.stallTimeout, b.err
}

// wait waits until the state may have changed. It returns false if the timeout passes first.
func (b *receiveBuffer) wait(timeout time.Duration) bool {
	if timeout <= 0 {
		<-b.changed
		return true
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-b.changed:
		return true
	case <-timer.C:
		return false
	}
}

// usable reports whether the buffer is empty and not closed.
func (b *receiveBuffer) usable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == nil && b.buf.Len() == 0
}
