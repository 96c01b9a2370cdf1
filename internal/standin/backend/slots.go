package backend

import (
	"container/list"
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/clock"
)

// RefusalError is the reason why a request got no slot.
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

// slotPool hands out the slotPool of a server in order of arrival.
type slotPool struct {
	clock clock.Clock

	mu      sync.Mutex
	limit   int
	queue   int
	busy    int
	waiters list.List // of chan struct{}, closed when the slot is given
}

// resize changes the number of slots and the length of the queue.
func (s *slotPool) resize(limit, queue int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.queue = queue
	s.grantLocked()
}

func (s *slotPool) grantLocked() {
	for s.busy < s.limit && s.waiters.Len() > 0 {
		granted := s.waiters.Remove(s.waiters.Front()).(chan struct{})
		s.busy++
		close(granted)
	}
}

// acquire takes a slot, waiting in the queue until the deadline. A zero deadline means none.
func (s *slotPool) acquire(ctx context.Context, deadline time.Time) error {
	if !deadline.IsZero() && !s.clock.Now().Before(deadline) {
		return ErrExpired
	}
	granted, place, err := s.enqueue()
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
		return s.cancelWait(granted, place, ErrCancelled)
	case <-expired:
		return s.cancelWait(granted, place, ErrExpired)
	}
}

// enqueue takes a free slot at once, in which case granted is nil, or joins the queue.
func (s *slotPool) enqueue() (granted chan struct{}, place *list.Element, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.busy < s.limit {
		s.busy++
		return nil, nil, nil
	}
	if s.waiters.Len() >= s.queue {
		return nil, nil, ErrShed
	}
	granted = make(chan struct{})
	return granted, s.waiters.PushBack(granted), nil
}

// cancelWait gives up a place in the queue, or the slot that was granted meanwhile.
func (s *slotPool) cancelWait(granted chan struct{}, place *list.Element, reason RefusalError) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case <-granted:
		s.busy--
		s.grantLocked()
	default:
		s.waiters.Remove(place)
	}
	return reason
}

// release returns a slot.
func (s *slotPool) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.busy--
	s.grantLocked()
}

// usage returns the numbers of running and waiting requests and of slots.
func (s *slotPool) usage() (busy, waiting, limit int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.busy, s.waiters.Len(), s.limit
}
