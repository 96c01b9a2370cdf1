package registry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// leaseTTL is how long a host stays listed after it has stopped without deregistering. Unreachable hosts
	// are skipped, so that a long TTL only costs space.
	leaseTTL = time.Minute
	// renewInterval allows two renewals to fail within leaseTTL.
	renewInterval = 18 * time.Second
	// registrationCheckInterval is how often a host checks in its own copy that its record still exists.
	registrationCheckInterval = 2 * time.Second
	// reregistrationSpread is the time over which the hosts of a deployment write their records again in a new era.
	reregistrationSpread = 10 * time.Second
	// registerRetryDelay is the pause after a failed call.
	registerRetryDelay = time.Second
)

// runRegistrar keeps the host registered in the store until ctx ends. A host that stops stays listed until
// its lease ends: most hosts start again at once and take over the record, which saves calls.
func (r *Registry) runRegistrar(ctx context.Context) {
	var lastRenewal time.Time
	era, limit := r.latestEra(), callTimeout
	for ctx.Err() == nil {
		pause := registrationCheckInterval
		if latest := r.latestEra(); latest > era {
			era = latest
			if r.leaseIsOfEarlierEra() { // as those of all other hosts
				_ = r.sleep(ctx, rand.N(reregistrationSpread))
			}
		}
		if r.currentLease().ID == 0 || r.cfg.Clock.Now().Sub(lastRenewal) >= renewInterval {
			lastRenewal = r.cfg.Clock.Now()
			err := r.ensureRegistered(ctx, limit)
			if err != nil && ctx.Err() == nil {
				r.cfg.Events.Record(event.RegistryUnlisted, event.Fields{Detail: err.Error()})
				lastRenewal = time.Time{}
				pause = registerRetryDelay
				limit = min(2*limit, r.timing.slowCallTimeout) // the store may be slow
			} else {
				limit = callTimeout
			}
		}
		_ = r.sleep(ctx, pause)
	}
}

// takeOverRecord looks for the record that an earlier process of this host has left in the store, and takes
// over its lease. The record is then renewed instead of written again.
func (r *Registry) takeOverRecord(ctx context.Context) {
	for _, h := range r.readHosts(ctx, false) {
		if h.Lease.ID != 0 && h.sameAttributes(&r.cfg.Self) {
			r.setLease(h.Lease)
			r.tookOver = true
			r.cfg.Events.Record(event.RegistryListed, event.Fields{Detail: "the record of an earlier process is taken over"})
		}
	}
}

// ensureRegistered renews the lease within a time limit. It registers the host when there is no lease, the lease has ended
// or the record has been removed.
func (r *Registry) ensureRegistered(ctx context.Context, limit time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	lease := r.currentLease()
	if lease.ID != 0 {
		err := r.cfg.Store.Renew(ctx, lease)
		if other := r.observeLeaseEra(err); !other && !errors.Is(err, ErrLeaseEnded) {
			return err
		}
		r.setLease(Lease{})
	}
	lease, err := r.cfg.Store.Register(ctx, r.cfg.Self, leaseTTL)
	if err != nil {
		r.observeLeaseEra(err)
		return err // the record may not be attached to a lease that was granted
	}
	r.setLease(lease)
	r.cfg.Events.Record(event.RegistryListed, event.Fields{})
	return nil
}

// observeLeaseEra reports whether a call about a lease failed because the store is in another era, and records that one.
func (r *Registry) observeLeaseEra(err error) bool {
	var e *EraError
	if !errors.As(err, &e) || e.Got <= e.Known {
		return false
	}
	r.observeEra(e.Got)
	return true
}

// currentLease returns the lease of the host's record, or zero when there is none, it is of an earlier era, or the record is
// known to be removed.
func (r *Registry) currentLease() Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.hosts[r.cfg.Self.ID]; rec != nil && rec.Removed || r.lease.Era < r.era {
		return Lease{}
	}
	return r.lease
}

// leaseIsOfEarlierEra reports whether the host had a lease that doesn't count any more because the store's era has changed.
func (r *Registry) leaseIsOfEarlierEra() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lease.ID != 0 && r.lease.Era < r.era
}

func (r *Registry) setLease(l Lease) {
	r.mu.Lock()
	r.lease, r.era = l, max(r.era, l.Era)
	r.mu.Unlock()
}
