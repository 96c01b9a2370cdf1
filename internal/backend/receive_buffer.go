package backend

import (
	"bytes"
	"sync"
	"time"
)

// maxUnreadBytes is the number of received bytes that wait for the reader. The backend server is slowed down then.
const maxUnreadBytes = uncountedBytes

// maxIdleBufferBytes is the largest buffer that is kept for the next response on the connection.
const maxIdleBufferBytes = 16 << 10

// receiveBuffer passes bytes from the read loop of a connection to its single reader. No other lock is acquired while
// mu is held.
type receiveBuffer struct {
	limit   int           // maximum number of bytes between two resets
	changed chan struct{} // has one element if the state may have changed since the last wait

	mu           sync.Mutex
	drained      *sync.Cond // signalled when push may go on
	buf          bytes.Buffer
	charge       charge // for buf
	unbounded    bool   // the reader doesn't read now, so that push must not wait for it
	total        int    // bytes received since the last reset
	headLeft     int    // bytes that Read may still return before ErrHeaderTooLarge; negative for no limit
	err          error
	stallTimeout time.Duration // maximum wait of a Read; zero means no limit
}

func newReceiveBuffer(limit int, budget *bufferBudget) *receiveBuffer {
	b := &receiveBuffer{limit: limit, charge: charge{budget: budget}, headLeft: -1, changed: make(chan struct{}, 1)}
	b.drained = sync.NewCond(&b.mu)
	return b
}

// reset prepares the buffer for the next response and reports whether the connection may be used.
func (b *receiveBuffer) reset() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = 0
	b.stallTimeout = 0
	select {
	case <-b.changed:
	default:
	}
	return b.err == nil && b.buf.Len() == 0
}

// release frees a large buffer after an exchange. Bytes that are left in it belong to no response, and the connection
// can't be used again.
func (b *receiveBuffer) release() {
	b.mu.Lock()
	defer b.mu.Unlock()
	leftOver := b.buf.Len() > 0
	if leftOver && b.err == nil {
		b.err = ErrUnsolicitedData
	}
	if leftOver || b.buf.Cap() > maxIdleBufferBytes {
		b.buf = bytes.Buffer{}
	}
	b.charge.set(0)
	b.drained.Signal()
}

// setUnbounded sets whether push stores all bytes without waiting for the reader, up to the limits.
func (b *receiveBuffer) setUnbounded(unbounded bool) {
	b.mu.Lock()
	b.unbounded = unbounded
	b.mu.Unlock()
	b.drained.Signal()
}

// push appends data, once the reader has read enough of the earlier bytes. It returns an error if the size limit or the
// budget doesn't permit it, or if the buffer is closed.
func (b *receiveBuffer) push(data []byte) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.buf.Len() >= maxUnreadBytes && !b.unbounded && b.err == nil {
		b.drained.Wait()
	}
	if b.err != nil {
		return b.err
	}
	b.total += len(data)
	if b.total > b.limit {
		return ErrResponseTooLarge
	}
	if !b.charge.set(b.buf.Len() + len(data)) {
		return ErrBuffersFull
	}
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
	b.drained.Signal()
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
		b.charge.set(b.buf.Len())
		b.drained.Signal()
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
