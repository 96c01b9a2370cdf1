package slots

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/peer"
	"github.com/bilberryline/bilberryline/internal/slots/slotspb"
)

// remoteLease is the lease of a slot in a group that another host owns.
type remoteLease struct {
	stream     peer.Stream
	target     string
	needsProbe bool
	once       sync.Once
}

// Target implements Lease.
func (l *remoteLease) Target() string { return l.target }

// NeedsProbe implements Lease.
func (l *remoteLease) NeedsProbe() bool { return l.needsProbe }

// Release implements Lease.
func (l *remoteLease) Release(rep slot.Report) {
	l.once.Do(func() {
		_ = l.stream.SetDeadline(time.Now().Add(releaseTimeout))
		_ = l.stream.Send(reportToProto(rep))
		_ = l.stream.Close()
	})
}

const (
	// releaseTimeout bounds the sending of the report that ends a lease.
	releaseTimeout = time.Second
	// openTimeout bounds the opening of the stream to a group's owner.
	openTimeout = time.Second
	// ownerCheckInterval is the time between two checks, while a request waits, that the group's owner is still the
	// same.
	ownerCheckInterval = 100 * time.Millisecond
)

func (m *Manager) acquireRemote(ctx context.Context, owner string, key Key, r slot.Request) (Lease, error) {
	openCtx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	s, err := m.cfg.Peers.Open(openCtx, owner, MethodAcquire)
	if err != nil {
		return nil, m.ownerLostError(ctx, key, owner, err)
	}
	stop := context.AfterFunc(ctx, func() { interrupt(s) })
	defer stop()
	stopWatching := m.watchOwner(key, owner, s)
	defer stopWatching()
	if err := s.Send(acquireToProto(key, r, time.Now())); err != nil {
		_ = s.Close()
		return nil, m.ownerLostError(ctx, key, owner, err)
	}
	var d slotspb.Decision
	if err := s.Recv(&d); err != nil {
		_ = s.Close()
		return nil, m.ownerLostError(ctx, key, owner, err)
	}
	if d.GetFill() != nil {
		m.fills.set(key, fillFromProto(d.GetFill()))
	}
	if d.GetUnable() {
		_ = s.Close()
		return nil, &OwnerLostError{Key: key, Owner: owner, Err: ErrNotConfigured}
	}
	if !d.GetGranted() {
		_ = s.Close()
		return nil, &RefusedError{Key: key, Reason: slot.Reason(d.GetReason()), RetryAfter: time.Duration(d.GetRetryAfterNs())}
	}
	return &remoteLease{stream: s, target: d.GetTarget(), needsProbe: d.GetUnheard()}, nil
}

// interrupt makes blocked calls of the stream fail by a deadline in the past.
func interrupt(s peer.Stream) { _ = s.SetDeadline(time.Unix(1, 0)) }

// watchOwner interrupts the stream when another host has become the owner of the group, for example because this
// one became unresponsive. The returned function stops the watch.
func (m *Manager) watchOwner(key Key, owner string, s peer.Stream) (stop func()) {
	var mu sync.Mutex
	var timer *time.Timer
	stopped := false
	check := func() {
		mu.Lock()
		defer mu.Unlock()
		if stopped {
			return
		}
		if m.Owner(key) != owner {
			interrupt(s)
			return
		}
		timer.Reset(ownerCheckInterval)
	}
	mu.Lock()
	timer = time.AfterFunc(ownerCheckInterval, check)
	mu.Unlock()
	return func() {
		mu.Lock()
		stopped = true
		timer.Stop()
		mu.Unlock()
	}
}

// ownerLostError reports the owner as unreachable and returns an *OwnerLostError. If ctx has ended, it returns the
// context's cause instead.
func (m *Manager) ownerLostError(ctx context.Context, key Key, owner string, err error) error {
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	m.cfg.ReportReachability(owner, false)
	return &OwnerLostError{Key: key, Owner: owner, Err: err}
}
