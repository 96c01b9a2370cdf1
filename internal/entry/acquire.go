package entry

import (
	"context"
	"errors"
	"time"

	"github.com/bilberryline/bilberryline/internal/balance/slot"
	"github.com/bilberryline/bilberryline/internal/config"
	"github.com/bilberryline/bilberryline/internal/slots"
)

// fullGroupTTL is the age up to which a fill is current enough to skip a full group in the search for a free slot.
const fullGroupTTL = 20 * time.Millisecond

// acquire obtains a lease for an attempt. It first asks the nearby groups for a free slot, which costs only
// one message per group that refuses. If none has a free slot, the request waits at the nearest group, or at
// another group if the nearest can't serve it before the deadline.
func (h *handler) acquire(ctx context.Context, c *call, opts attemptOptions) (slots.Lease, error) {
	req := c.slotRequest(opts)
	if h.settings.Policy != PolicyOwner {
		return h.slots.AcquireDirect(c.service, nil, req, h.settings.Policy == PolicyRandom)
	}
	order := h.selectors.order(c.snap, c.service, len(c.req.Body))
	search := slotSearch{handler: h, call: c, request: req}
	lease, err := search.acquireFree(ctx, order.noWait)
	if lease != nil || err != nil {
		return lease, err
	}
	if opts.hedge {
		return nil, search.refusalError()
	}
	lease, err = search.acquireQueued(ctx, order.wait)
	if lease != nil || err != nil {
		return lease, err
	}
	return nil, search.refusalError()
}

// slotSearch acquires a slot for one attempt by asking several groups in turn.
type slotSearch struct {
	handler *handler
	call    *call
	request slot.Request
	refusal error // the most recent refusal, nil if there is none
}

// refusalError returns the most recent refusal, or a RefusedError with slot.NoTarget if no group has refused.
func (s *slotSearch) refusalError() error {
	if s.refusal != nil {
		return s.refusal
	}
	return &slots.RefusedError{Key: slots.Key{Service: s.call.service.Name}, Reason: slot.NoTarget, RetryAfter: time.Second}
}

// acquireFree takes a free slot from the first group that has one. It never waits in a group's queue: the
// known fill of a group is somewhat out of date, and all hosts that rely on it would queue at the same group.
func (s *slotSearch) acquireFree(ctx context.Context, keys []slots.Key) (slots.Lease, error) {
	s.request.NoWait = true
	for _, key := range keys {
		fill, known := s.handler.slots.Fill(key)
		if known && time.Since(fill.At) < fullGroupTTL && (fill.Waiting > 0 || fill.Busy >= fill.Slots) {
			continue
		}
		if lease, err := s.tryGroup(ctx, key); lease != nil || err != nil {
			return lease, err
		}
	}
	return nil, nil
}

// acquireQueued waits in the queue of the first group that expects to serve the request before its deadline.
func (s *slotSearch) acquireQueued(ctx context.Context, keys []slots.Key) (slots.Lease, error) {
	s.request.NoWait = false
	for _, key := range keys {
		if lease, err := s.tryGroup(ctx, key); lease != nil || err != nil {
			return lease, err
		}
	}
	return nil, nil
}

// tryGroup asks one group for a slot. It returns neither a lease nor an error if the group refuses or the
// link budget is exhausted.
func (s *slotSearch) tryGroup(ctx context.Context, key slots.Key) (slots.Lease, error) {
	if !s.handler.spendLinkBudget(s.call, key) {
		return nil, nil
	}
	lease, err := s.handler.acquireGroup(ctx, s.call, key, s.request)
	var refused *slots.RefusedError
	if errors.As(err, &refused) {
		s.refusal = refused
		return nil, nil
	}
	return lease, err
}

// spendLinkBudget takes the size of the request body from the budget of the link to the group's region and
// reports whether the budget covered it. Groups in the host's own region need no budget.
func (h *handler) spendLinkBudget(c *call, key slots.Key) bool {
	regionName := regionOfSite(c.snap, key.Site)
	return regionName == h.settings.Region || h.selectors.spendLink(c.service.Name, regionName, len(c.req.Body))
}

// regionOfSite returns the name of the region that the site belongs to, or an empty string.
func regionOfSite(snap *config.Snapshot, site string) string {
	for name, r := range snap.Regions {
		for _, s := range r.Sites {
			if s == site {
				return name
			}
		}
	}
	return ""
}

// acquireGroup acquires a slot from the group's owner. If the owner is lost, it tries the next owner, provided
// that the membership already names one. Otherwise it chooses among the group's targets from local state only.
func (h *handler) acquireGroup(ctx context.Context, c *call, key slots.Key, req slot.Request) (slots.Lease, error) {
	lease, err := h.slots.Acquire(ctx, key, req)
	var lost *slots.OwnerLostError
	if !errors.As(err, &lost) {
		return lease, err
	}
	h.metrics.ownerLost.WithLabelValues(c.service.Name).Inc()
	if h.slots.Owner(key) != lost.Owner {
		if lease, err = h.slots.Acquire(ctx, key, req); !errors.As(err, &lost) {
			return lease, err
		}
	}
	return h.slots.AcquireDirect(c.service, func(t *config.Target) bool { return t.Site == key.Site }, req, false)
}
