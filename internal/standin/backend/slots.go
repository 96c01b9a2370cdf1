package backend

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// RefusalError is the reason why a request did not get a slot.
type RefusalError string

// Reasons for a refusal.
const (
	// ErrShed means that the queue is full.
	ErrShed RefusalError = "queue is full"
	// ErrExpired means that the request's deadline passed before it got a slot.
	ErrExpired RefusalError = "deadline passed"
	// ErrCancelled means that the client closed the connection while the request waited.
	ErrCancelled RefusalError = "cancelled by the client"
)

// Error implements error.
func (r RefusalError) Error() string { return string(r) }

// slotPool grants the slots of a server in FIFO order.
type slotPool struct {
	clock clock.Clock

	mu         sync.Mutex
	limit      int
	queueLimit int
	busy       int
	waiters    list.List // of chan struct{}, closed when the slot is granted
}

// resize sets the number of slots and the maximum length of the queue.
func (s *slotPool) resize(limit, queueLimit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.queueLimit = queueLimit
	s.grantLocked()
}

func (s *slotPool) grantLocked() {
	for s.busy < s.limit && s.waiters.Len() > 0 {
		granted := s.waiters.Remove(s.waiters.Front()).(chan struct{})
		s.busy++
		close(granted)
	}
}

// acquire takes a slot. It waits in the queue until the deadline or until ctx ends. The zero deadline means none.
func (s *slotPool) acquire(ctx context.Context, deadline time.Time) error {
	if !deadline.IsZero() && !s.clock.Now().Before(deadline) {
		return ErrExpired
	}
	granted, elem, err := s.enqueue()
	if err != nil || granted == nil {
		return err
	}
	var expired <-chan time.Time
	if !deadline.IsZero() {
		expired = s.clock.After(deadline.Sub(s.clock.Now()))
	}
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		return s.cancelWait(granted, elem, ErrCancelled)
	case <-expired:
		return s.cancelWait(granted, elem, ErrExpired)
	}
}

// enqueue takes a free slot, in which case granted is nil, or appends a waiter to the queue.
func (s *slotPool) enqueue() (granted chan struct{}, elem *list.Element, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy < s.limit {
		s.busy++
		return nil, nil, nil
	}
	if s.waiters.Len() >= s.queueLimit {
		return nil, nil, ErrShed
	}
	granted = make(chan struct{})
	return granted, s.waiters.PushBack(granted), nil
}

// cancelWait removes a waiter from the queue, or releases the slot if it was granted meanwhile. It returns reason.
func (s *slotPool) cancelWait(granted chan struct{}, elem *list.Element, reason RefusalError) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted:
		s.busy--
		s.grantLocked()
	default:
		s.waiters.Remove(elem)
	}
	return reason
}

// release frees a slot and grants it to the next waiter.
func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.grantLocked()
}

// usage returns the numbers of running requests, waiting requests and slots.
func (s *slotPool) usage() (busy, waiting, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, s.waiters.Len(), s.limit
}
