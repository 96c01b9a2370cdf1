package backend

import (
	"bytes"
	"sync"
	"time"
)

// inbox passes bytes from a connection's read loop to the one reader of a connection. Its lock is a
// leaf.
type inbox struct {
	limit int
	ready chan struct{} // holds one token when the state may have changed

	mu    sync.Mutex
	buf   bytes.Buffer
	total int // bytes received since reset
	err   error
	stall time.Duration // longest wait of one Read; zero means no bound
}

func newInbox(limit int) *inbox {
	return &inbox{limit: limit, ready: make(chan struct{}, 1)}
}

// reset prepares the inbox for the next answer and tells whether the connection may be used.
func (b *inbox) reset() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total = 0
	b.stall = 0
	select {
	case <-b.ready:
	default:
	}
	return b.err == nil && b.buf.Len() == 0
}

// push adds bytes and tells whether they fit the limit.
func (b *inbox) push(data []byte) bool {
	b.mu.Lock()
	b.total += len(data)
	fits := b.total <= b.limit
	if fits {
		b.buf.Write(data)
	}
	b.mu.Unlock()
	if fits {
		b.wake()
	}
	return fits
}

// fail ends the inbox with the first error given. Bytes that arrived before can still be read.
func (b *inbox) fail(err error) {
	b.mu.Lock()
	if b.err == nil {
		b.err = err
	}
	b.mu.Unlock()
	b.wake()
}

func (b *inbox) wake() {
	select {
	case b.ready <- struct{}{}:
	default:
	}
}

// setStall bounds the wait of each following Read.
func (b *inbox) setStall(d time.Duration) {
	b.mu.Lock()
	b.stall = d
	b.mu.Unlock()
}

// Read implements io.Reader.
func (b *inbox) Read(p []byte) (int, error) {
	for {
		n, stall, err := b.take(p)
		if n > 0 || err != nil {
			return n, err
		}
		if !b.wait(stall) {
			return 0, ErrStalled
		}
	}
}

func (b *inbox) take(p []byte) (n int, stall time.Duration, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.buf.Len() > 0 {
		n, _ = b.buf.Read(p)
		return n, 0, nil
	}
	return 0, b.stall, b.err
}

// wait returns false when the stall timeout passed first.
func (b *inbox) wait(stall time.Duration) bool {
	if stall <= 0 {
		<-b.ready
		return true
	}
	timer := time.NewTimer(stall)
	defer timer.Stop()
	select {
	case <-b.ready:
		return true
	case <-timer.C:
		return false
	}
}

// usable tells whether the inbox has not failed and holds no byte.
func (b *inbox) usable() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.err == nil && b.buf.Len() == 0
}
