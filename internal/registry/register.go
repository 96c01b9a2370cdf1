package registry

import (
	"context"
	"errors"
	"time"

	"github.com/bilberryline/bilberryline/internal/event"
)

const (
	// leaseTTL is how long a host stays listed after it has gone without a word. Hosts that can't be
	// reached are passed over, so that a long one only costs space.
	leaseTTL = time.Minute
	// renewInterval leaves room for two failed renewals.
	renewInterval = 18 * time.Second
	// registrationCheckInterval is how often a host looks whether its own record is still there, by its own copy.
	registrationCheckInterval = 2 * time.Second
	// registerRetryPause is the pause after a failed call.
	registerRetryPause = time.Second
)

// runRegistrar keeps the host listed in the store until ctx ends. A host that stops stays listed until
// its lease ends: most start again at once and take the record over, which saves calls.
func (r *Registry) runRegistrar(ctx context.Context) {
	var renewed time.Time
	for ctx.Err() == nil {
		pause := registrationCheckInterval
		if r.currentLease() == 0 || r.cfg.Clock.Now().Sub(renewed) >= renewInterval {
			renewed = r.cfg.Clock.Now()
			if err := r.ensureRegistered(ctx); err != nil && ctx.Err() == nil {
				r.cfg.Events.Record(event.RegistryUnlisted, event.Fields{Detail: err.Error()})
				renewed = time.Time{}
				pause = registerRetryPause
			}
		}
		_ = r.sleep(ctx, pause)
	}
}

// takeOverRecord finds the record that an earlier process of this host has left in the store. It is
// renewed instead of written anew.
func (r *Registry) takeOverRecord(ctx context.Context) {
	for _, h := range r.readHosts(ctx) {
		if h.Lease != 0 && h.sameAttributes(&r.cfg.Self) {
			r.setLease(h.Lease)
			r.cfg.Events.Record(event.RegistryListed, event.Fields{Detail: "the record of an earlier process is taken over"})
		}
	}
}

// ensureRegistered renews the lease, or registers when there is none or the record has gone.
func (r *Registry) ensureRegistered(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lease := r.currentLease()
	if lease != 0 {
		err := r.cfg.Store.Renew(ctx, lease)
		if !errors.Is(err, ErrLeaseEnded) {
			return err
		}
		r.setLease(0)
	}
	lease, err := r.cfg.Store.Register(ctx, r.cfg.Self, leaseTTL)
	r.setLease(lease)
	if err != nil {
		return err
	}
	r.cfg.Events.Record(event.RegistryListed, event.Fields{})
	return nil
}

// currentLease returns the lease of the host's record, or zero when the record is known to be gone.
func (r *Registry) currentLease() Lease {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec := r.hosts[r.cfg.Self.ID]; rec != nil && rec.Removed {
		return 0
	}
	return r.lease
}

func (r *Registry) setLease(l Lease) {
	r.mu.Lock()
	r.lease = l
	r.mu.Unlock()
}
